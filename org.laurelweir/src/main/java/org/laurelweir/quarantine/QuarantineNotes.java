package org.laurelweir.quarantine;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.laurelweir.lib.Decision;

/** Words for the log which requests are kept away from backend servers, and which no more. */
public final class QuarantineNotes implements QuarantineListener {
    private static final String QUARANTINED = "QUARANTINED";
    private static final String RELEASED = "RELEASED";

    private final String mProgram;
    private final List<Note> mNotes = new ArrayList<>();

    /**
     * Creates an empty collection.
     *
     * @param program router or control
     */
    public QuarantineNotes(String program) {
        mProgram = program;
    }

    @Override
    public void changed(CrashRecord record, boolean quarantined) {
        mNotes.add(new Note(record, quarantined));
    }

    /** Passes on what was noted since the last call. */
    public void flush(Instant now, Consumer<Decision> decisions) {
        if (!mNotes.isEmpty()) {
            mNotes.forEach(n -> decisions.accept(decision(now, n)));
            mNotes.clear();
        }
    }

    private Decision decision(Instant now, Note n) {
        CrashRecord r = n.record();
        List<String> ended = r.unexcusedServers();
        String fingerprint = r.key().fingerprintText();
        return Decision.builder(now, mProgram)
                .account(r.key().account())
                .service(r.service())
                .candidates(ended)
                .choice(
                        n.quarantined() ? QUARANTINED : RELEASED,
                        ended.size() + " backend servers ended under request " + fingerprint)
                .build();
    }

    private record Note(CrashRecord record, boolean quarantined) {}
}
