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
    private MembershipCursor mControl = MembershipCursor.NONE;

    /** How far this router has that instance's records. */
    private long mSeen;

    /** How far that instance has this router's, and will have them with the answer under way. */
    private long mTold;

    private long mTelling;

    CrashSharing(CrashTable crashes) {
        mCrashes = crashes;
    }

    /** Returns whether there is something to tell. */
    boolean isUrgent() {
        return mCrashes.version() > mTold;
    }

    /** Returns what to tell with the exchange that begins. */
    CrashReport report(Instant now) {
        CrashDelta delta = mCrashes.since(now, mTold);
        mTelling = delta.version();
        return new CrashReport(mSeen, delta.records());
    }

    /**
     * Takes what a control instance told.
     *
     * @param control names its run
     * @param delta what it told
     */
    void answered(Instant now, MembershipCursor control, CrashDelta delta) {
        mTold = control.isSameRun(mControl) ? mTelling : 0;
        mControl = control;
        mSeen = delta.version();
        boolean nothingToTell = !isUrgent();
        mCrashes.merge(now, delta.records());
        if (nothingToTell) {
            // What is new now came from that very instance.
            mTold = mCrashes.version();
        }
    }
}
