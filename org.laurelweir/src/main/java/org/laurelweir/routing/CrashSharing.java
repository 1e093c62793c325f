package org.laurelweir.routing;

import java.time.Instant;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.quarantine.CrashDelta;
import org.laurelweir.quarantine.CrashReport;
import org.laurelweir.quarantine.CrashTable;

/**
 * Exchanges crash records with control. A crash record names a request under which a backend server
 * crashed. Sends the records of this router and merges those of other routers. A control instance
 * that has just started, or that this router asks for the first time, receives all records, since
 * control keeps none of them on disk.
 */
final class CrashSharing {
    private final CrashTable mCrashes;

    /** The run of the control instance that the versions below refer to. */
    private MembershipCursor mControlRun = MembershipCursor.NONE;

    /** Version of that instance's records that this router has received. */
    private long mReceivedVersion;

    /** Version of this router's records that the instance has acknowledged. */
    private long mAcknowledgedVersion;

    /** Version of this router's records that the exchange in flight sends. */
    private long mInFlightVersion;

    CrashSharing(CrashTable crashes) {
        mCrashes = crashes;
    }

    /** Returns whether control lacks some of this router's records. */
    boolean hasUnacknowledgedRecords() {
        return mCrashes.version() > mAcknowledgedVersion;
    }

    /** Returns the report for the exchange that begins. */
    CrashReport report(Instant now) {
        CrashDelta delta = mCrashes.since(now, mAcknowledgedVersion);
        mInFlightVersion = delta.version();
        return new CrashReport(mReceivedVersion, delta.records());
    }

    /**
     * Applies a control instance's answer to an exchange.
     *
     * @param control names the run of the instance
     * @param delta the crash records that it sent
     */
    void onAnswered(Instant now, MembershipCursor control, CrashDelta delta) {
        mAcknowledgedVersion = control.isSameIncarnation(mControlRun) ? mInFlightVersion : 0;
        mControlRun = control;
        mReceivedVersion = delta.version();
        boolean hadNothingToSend = !hasUnacknowledgedRecords();
        mCrashes.merge(now, delta.records());
        if (hadNothingToSend) {
            // All newer records came from this very instance, so that it needs none of them back.
            mAcknowledgedVersion = mCrashes.version();
        }
    }
}
