package org.laurelweir.load;

import java.util.List;

/**
 * The requests in flight of one or more routers.
 *
 * @param full whether the report lists all requests; otherwise it lists only the servers and parts
 *     whose numbers have changed since the last acknowledged report
 * @param servers the requests by backend server; 0 if the last request there has ended
 * @param parts the requests by the shared part of their prompts, for requests with a prompt
 */
public record LoadReport(boolean full, List<BackendLoad> servers, List<PartLoad> parts) {
    /** A full report without any request. */
    public static final LoadReport NONE = new LoadReport(true, List.of(), List.of());

    /** Creates a report with immutable copies of the lists. */
    public LoadReport {
        servers = List.copyOf(servers);
        parts = List.copyOf(parts);
    }
}
