package org.laurelweir.quarantine;

import java.util.List;

/**
 * The crashes of backend servers under one suspect.
 *
 * @param key identifies the suspect
 * @param service the service of the first crash, for the log
 * @param servedBefore whether a process remembers that the part of prompts was served; false for a
 *     request, whose crashes are excused by that
 * @param crashes the crashes, one per incarnation of a backend server
 */
public record CrashRecord(
        SuspectKey key, String service, boolean servedBefore, List<Crash> crashes) {
    /** Creates a record with an immutable copy of the list. */
    public CrashRecord {
        crashes = List.copyOf(crashes);
    }

    /** Creates a record of a suspect that was not served before. */
    public CrashRecord(SuspectKey key, String service, List<Crash> crashes) {
        this(key, service, false, crashes);
    }

    /** Returns the ids of the backend servers whose crashes the suspect may have caused. */
    public List<String> unexcusedServers() {
        return crashes.stream().filter(c -> !c.excused()).map(c -> c.server().id()).toList();
    }
}
