package org.laurelweir.load;

import java.util.List;

/**
 * What one or more routers have under way.
 *
 * @param servers by backend server
 * @param parts by the shared part of the prompt, of requests that have one
 */
public record LoadReport(List<BackendLoad> servers, List<PartLoad> parts) {
    /** Nothing under way. */
    public static final LoadReport NONE = new LoadReport(List.of(), List.of());

    /** Copies the lists. */
    public LoadReport {
        servers = List.copyOf(servers);
        parts = List.copyOf(parts);
    }
}
