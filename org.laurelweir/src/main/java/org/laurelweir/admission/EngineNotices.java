package org.laurelweir.admission;

import java.time.Duration;
import java.time.Instant;
import org.laurelweir.answer.ServerNotice;

/** What the backend server said of itself in its answers: that it wants rest, or that it leaves. */
final class EngineNotices {
    /**
     * How long a server counts as leaving. It stops within this time; one that still answers has
     * started anew between two checks of whether it can be reached.
     */
    static final Duration MAX_LEAVING_TIME = Duration.ofMinutes(10);

    private Instant mRestEnd = Instant.MIN;
    private Instant mLeavingEnd = Instant.MIN;

    /** Records what an answer said. A shorter rest does not end a longer one. */
    void onNotice(Instant now, ServerNotice notice) {
        Instant end = now.plus(notice.rest());
        if (end.isAfter(mRestEnd)) {
            mRestEnd = end;
        }
        if (notice.leaving()) {
            mLeavingEnd = now.plus(MAX_LEAVING_TIME);
        }
    }

    /** Forgets what an earlier run of the backend server said. */
    void onRestarted() {
        mRestEnd = Instant.MIN;
        mLeavingEnd = Instant.MIN;
    }

    /** Returns the time until the rest ends, or zero if the server does not rest. */
    Duration restLeft(Instant now) {
        return now.isBefore(mRestEnd) ? Duration.between(now, mRestEnd) : Duration.ZERO;
    }

    boolean isResting(Instant now) {
        return now.isBefore(mRestEnd);
    }

    boolean isLeaving(Instant now) {
        return now.isBefore(mLeavingEnd);
    }
}
