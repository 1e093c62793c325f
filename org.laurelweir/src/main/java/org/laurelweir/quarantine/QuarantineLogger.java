package org.laurelweir.quarantine;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.laurelweir.lib.Decision;

/** Collects the changes of the quarantine as entries for the decision log. */
public final class QuarantineLogger implements QuarantineListener {
    private static final String QUARANTINED = "QUARANTINED";
    private static final String RELEASED = "RELEASED";

    private final String mProgram;
    private final List<Note> mNotes = new ArrayList<>();

    /**
     * Creates an empty collection.
     *
     * @param program the program in the log entries, router or control
     */
    public QuarantineLogger(String program) {
        mProgram = program;
    }

    @Override
    public void changed(CrashRecord record, boolean quarantined) {
        mNotes.add(new Note(record, quarantined));
    }

    /** Passes the entries for all changes since the last call to a consumer. */
    public void flush(Instant now, Consumer<Decision> decisions) {
        if (!mNotes.isEmpty()) {
            mNotes.forEach(n -> decisions.accept(decision(now, n)));
            mNotes.clear();
        }
    }

    private Decision decision(Instant now, Note n) {
        CrashRecord r = n.record();
        List<String> servers = r.unexcusedServers();
        String fingerprint = r.key().fingerprintText();
        return Decision.builder(now, mProgram)
                .account(r.key().account())
                .service(r.service())
                .candidates(servers)
                .choice(
                        n.quarantined() ? QUARANTINED : RELEASED,
                        servers.size() + " backend servers ended under request " + fingerprint)
                .build();
    }

    private record Note(CrashRecord record, boolean quarantined) {}
}
