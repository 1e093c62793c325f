package org.laurelweir.quarantine;

import java.util.List;

/**
 * The crashes of backend servers under one request.
 *
 * @param key identifies the request
 * @param service the service of the request, for the log
 * @param crashes the crashes, one per incarnation of a backend server
 */
public record CrashRecord(RequestKey key, String service, List<Crash> crashes) {
    /** Creates a record with an immutable copy of the list. */
    public CrashRecord {
        crashes = List.copyOf(crashes);
    }

    /** Returns the ids of the backend servers whose crashes the request may have caused. */
    public List<String> unexcusedServers() {
        return crashes.stream().filter(c -> !c.excused()).map(c -> c.server().id()).toList();
    }
}
