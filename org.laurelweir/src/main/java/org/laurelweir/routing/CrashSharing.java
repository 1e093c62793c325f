package org.laurelweir.routing;

import java.time.Instant;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.quarantine.CrashDelta;
import org.laurelweir.quarantine.CrashReport;
import org.laurelweir.quarantine.CrashTable;

/**
 * Tells control under which requests backend servers ended, and learns what other routers saw. A
 * control instance that has just started, or is asked for the first time, is told everything: none
 * of it is kept on a disk.
 */
final class CrashSharing {
    private final CrashTable mCrashes;

    /** The run of a control instance that knows what is noted below. */
    private MembershipCursor mControlRun = MembershipCursor.NONE;

    /** How far this router has that instance's records. */
    private long mReceivedVersion;

    /** How far that instance has this router's, and will have them with the answer under way. */
    private long mAcknowledgedVersion;

    private long mInFlightVersion;

    CrashSharing(CrashTable crashes) {
        mCrashes = crashes;
    }

    /** Returns whether there is something to tell. */
    boolean hasUnacknowledgedRecords() {
        return mCrashes.version() > mAcknowledgedVersion;
    }

    /** Returns what to tell with the exchange that begins. */
    CrashReport report(Instant now) {
        CrashDelta delta = mCrashes.since(now, mAcknowledgedVersion);
        mInFlightVersion = delta.version();
        return new CrashReport(mReceivedVersion, delta.records());
    }

    /**
     * Takes what a control instance told.
     *
     * @param control names its run
     * @param delta what it told
     */
    void onAnswered(Instant now, MembershipCursor control, CrashDelta delta) {
        mAcknowledgedVersion = control.isSameRun(mControlRun) ? mInFlightVersion : 0;
        mControlRun = control;
        mReceivedVersion = delta.version();
        boolean nothingToTell = !hasUnacknowledgedRecords();
        mCrashes.merge(now, delta.records());
        if (nothingToTell) {
            // What is new now came from that very instance.
            mAcknowledgedVersion = mCrashes.version();
        }
    }
}
