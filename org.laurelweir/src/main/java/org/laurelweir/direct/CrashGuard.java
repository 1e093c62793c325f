package org.laurelweir.direct;

import java.time.Instant;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.quarantine.CrashTable;

/**
 * Notes under which requests backend servers end, and keeps those that cause it away from them: not
 * remembered beyond its answer, such a request would end one server after the other for as long as
 * it comes, and cut the requests of everyone else there.
 */
final class CrashGuard {
    private final CrashTable mCrashes;

    CrashGuard(CrashTable crashes) {
        mCrashes = crashes;
    }

    /** Returns whether a request that arrives must not be sent. */
    boolean shouldReject(ActiveRequest r, Instant now) {
        return !mCrashes.isEmpty()
                && mCrashes.isQuarantined(r.key())
                && !mCrashes.takeTrial(now, r.key());
    }

    /**
     * Notes that a backend server's connection ended before its answer was whole.
     *
     * @return whether the request may be sent to another one: not if some backend server had ended
     *     under it before, since it would then end the next one too
     */
    boolean onConnectionLost(ActiveRequest r, BackendRef server, Instant now) {
        boolean suspect = isSuspect(r);
        mCrashes.onCrash(now, r.key(), r.mService, server);
        return !suspect;
    }

    /** Returns whether some backend server ended under a request that may have caused it. */
    boolean isSuspect(ActiveRequest r) {
        return !mCrashes.isEmpty() && mCrashes.isSuspect(r.key());
    }

    /** Notes that a backend server has begun to answer. */
    void onHeadReceived(ActiveRequest r, Instant now) {
        mCrashes.onAnswer(now, r.mBackend, r.mCallStart);
    }

    /** Notes that a request has been served. */
    void onServed(ActiveRequest r, Instant now) {
        if (!mCrashes.isEmpty()) {
            mCrashes.excuseAll(now, r.key());
        }
    }
}
