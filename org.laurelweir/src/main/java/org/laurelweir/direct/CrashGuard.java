package org.laurelweir.direct;

import java.time.Instant;
import java.util.Optional;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.quarantine.CrashTable;
import org.laurelweir.quarantine.SuspectKey;

/**
 * Records which requests were running when a backend server crashed, and with which parts of
 * prompts, and rejects the requests that cause crashes. The record outlives the request: otherwise
 * a request that is sent again and again would crash one server after the other, and each crash
 * would cut all other requests there.
 */
final class CrashGuard {
    private final CrashTable mCrashes;

    CrashGuard(CrashTable crashes) {
        mCrashes = crashes;
    }

    /**
     * Returns the reason to reject an arriving request: itself, or a part of its prompt, if that is
     * quarantined. The request is accepted if a trial is due; that trial is then used up.
     */
    Optional<SuspectKey> findReasonToReject(ActiveRequest r, Instant now) {
        return findQuarantined(r).filter(key -> !mCrashes.takeTrial(now, key));
    }

    /** Returns whether a request, or a part of its prompt, is quarantined. */
    boolean isQuarantined(ActiveRequest r) {
        return findQuarantined(r).isPresent();
    }

    /** Returns the reason why a request is quarantined, if it is; uses up no trial. */
    Optional<SuspectKey> findQuarantined(ActiveRequest r) {
        if (mCrashes.isEmpty()) {
            return Optional.empty();
        }
        if (mCrashes.isQuarantined(r.key())) {
            return Optional.of(r.key());
        }
        return mCrashes.findBlamedPart(r.mRequest.account(), r.mService, r.sharedPartIds());
    }

    /**
     * Records that a backend server closed the connection before its answer was complete, which
     * counts as a crash.
     *
     * @return whether the request may be sent to another server; false if an earlier crash under
     *     this request is not excused, or if a part of its prompt is quarantined now: the request
     *     may crash the next server too
     */
    boolean onConnectionLost(ActiveRequest r, BackendRef server, Instant now) {
        boolean suspect = isSuspect(r);
        onCrash(r.summary(), server, now);
        return !suspect && !isQuarantined(r);
    }

    /** Records that a backend server crashed under a request, and so under its prompt's parts. */
    void onCrash(RequestSummary r, BackendRef server, Instant now) {
        mCrashes.onCrash(now, r.key(), r.service(), server);
        mCrashes.onCrashUnderParts(now, r.sharedPartIds(), r.key().account(), r.service(), server);
    }

    /** Returns whether the request may have caused an earlier crash. */
    boolean isSuspect(ActiveRequest r) {
        return !mCrashes.isEmpty() && mCrashes.isSuspect(r.key());
    }

    /** Records that a backend server answered a call, which may excuse a supposed crash. */
    void onHeadReceived(BackendRef server, Instant callStart, Instant now) {
        mCrashes.onAnswer(now, server, callStart);
    }

    /** Records that a request was served successfully, which excuses it and its prompt's parts. */
    void onServed(RequestSummary r, Instant now) {
        mCrashes.onPartsServed(now, r.sharedPartIds(), r.service());
        if (!mCrashes.isEmpty()) {
            mCrashes.excuseAll(now, r.key());
        }
    }
}
