package org.laurelweir.load;

import java.util.List;

/**
 * What one or more routers have under way.
 *
 * @param full whether that is all, and not only what changed since the last report
 * @param servers by backend server; 0 where there is nothing any more
 * @param parts by the shared part of the prompt, of requests that have one
 */
public record LoadReport(boolean full, List<BackendLoad> servers, List<PartLoad> parts) {
    /** Nothing under way. */
    public static final LoadReport NONE = new LoadReport(true, List.of(), List.of());

    /** Copies the lists. */
    public LoadReport {
        servers = List.copyOf(servers);
        parts = List.copyOf(parts);
    }
}
