package org.laurelweir.quarantine;

import java.util.List;

/**
 * The backend servers that ended under one request.
 *
 * @param key the request
 * @param service its service, for the log
 * @param crashes each backend server once
 */
public record CrashRecord(RequestKey key, String service, List<Crash> crashes) {
    /** Copies the list. */
    public CrashRecord {
        crashes = List.copyOf(crashes);
    }

    /** Returns the names of the backend servers whose end the request may have caused. */
    public List<String> unexcusedServers() {
        return crashes.stream().filter(c -> !c.excused()).map(c -> c.server().id()).toList();
    }
}
