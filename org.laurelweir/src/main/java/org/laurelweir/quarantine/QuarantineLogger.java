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
    private final List<Change> mChanges = new ArrayList<>();

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
        mChanges.add(new Change(record, quarantined));
    }

    /** Passes the entries for all changes since the last call to a consumer. */
    public void flush(Instant now, Consumer<Decision> decisions) {
        if (!mChanges.isEmpty()) {
            mChanges.forEach(c -> decisions.accept(decision(now, c)));
            mChanges.clear();
        }
    }

    private Decision decision(Instant now, Change c) {
        CrashRecord r = c.record();
        List<String> servers = r.unexcusedServers();
        return Decision.builder(now, mProgram)
                .account(r.key().account())
                .service(r.service())
                .candidates(servers)
                .choice(
                        c.quarantined() ? QUARANTINED : RELEASED,
                        servers.size() + " backend servers ended under " + r.key())
                .build();
    }

    private record Change(CrashRecord record, boolean quarantined) {}
}
