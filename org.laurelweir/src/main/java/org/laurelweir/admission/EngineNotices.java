package org.laurelweir.admission;

import java.time.Duration;
import java.time.Instant;
import org.laurelweir.answer.ServerNotice;

/**
 * What the backend server said of itself in its answers: that it wants no request for a while, or
 * that it leaves.
 */
final class EngineNotices {
    /**
     * How long a server counts as leaving. It stops within this time; one that still answers has
     * started anew between two checks of whether it can be reached.
     */
    static final Duration MAX_LEAVING_TIME = Duration.ofMinutes(10);

    private Instant mBackoffEnd = Instant.MIN;
    private Instant mLeavingEnd = Instant.MIN;

    /** Records what an answer said. A shorter backoff does not end a longer one. */
    void onNotice(Instant now, ServerNotice notice) {
        Instant end = now.plus(notice.backoff());
        if (end.isAfter(mBackoffEnd)) {
            mBackoffEnd = end;
        }
        if (notice.leaving()) {
            mLeavingEnd = now.plus(MAX_LEAVING_TIME);
        }
    }

    /** Forgets what an earlier run of the backend server said. */
    void onRestarted() {
        mBackoffEnd = Instant.MIN;
        mLeavingEnd = Instant.MIN;
    }

    /** Returns the time until the backoff ends, or zero if the server is not in backoff. */
    Duration backoffLeft(Instant now) {
        return now.isBefore(mBackoffEnd) ? Duration.between(now, mBackoffEnd) : Duration.ZERO;
    }

    boolean isInBackoff(Instant now) {
        return now.isBefore(mBackoffEnd);
    }

    boolean isLeaving(Instant now) {
        return now.isBefore(mLeavingEnd);
    }
}
