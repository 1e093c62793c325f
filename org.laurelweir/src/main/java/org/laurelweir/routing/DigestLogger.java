package org.laurelweir.routing;

import java.time.Instant;
import java.util.function.Predicate;
import org.laurelweir.contention.FleetDemand;
import org.laurelweir.lib.Decision;
import org.laurelweir.load.LoadEstimator;
import org.laurelweir.membership.MembershipCursor;

/**
 * Logs when a router starts to use digests from control, and when it falls back to the numbers of
 * its own calls alone.
 */
final class DigestLogger {
    private static final String LOADS_TOLD = "LOADS_TOLD";
    private static final String LOADS_NOT_TOLD = "LOADS_NOT_TOLD";
    private static final String DEMAND_TOLD = "DEMAND_TOLD";
    private static final String DEMAND_NOT_TOLD = "DEMAND_NOT_TOLD";

    private final Predicate<Instant> mIsRecent;
    private final String mTold;
    private final String mNotTold;
    private boolean mHasRecentDigest;

    private DigestLogger(Predicate<Instant> isRecent, String told, String notTold) {
        mIsRecent = isRecent;
        mTold = told;
        mNotTold = notTold;
    }

    /** Returns the logger for the load digests. */
    static DigestLogger ofLoads(LoadEstimator loads) {
        return new DigestLogger(loads::hasRecentDigest, LOADS_TOLD, LOADS_NOT_TOLD);
    }

    /** Returns the logger for the digests of the demand of all routers. */
    static DigestLogger ofDemand(FleetDemand demand) {
        return new DigestLogger(demand::hasRecentDigest, DEMAND_TOLD, DEMAND_NOT_TOLD);
    }

    /**
     * Logs a change since the last call.
     *
     * @param control the run of the control instance that the router asks
     */
    void onTick(Step s, MembershipCursor control) {
        boolean hasRecentDigest = mIsRecent.test(s.now());
        if (hasRecentDigest == mHasRecentDigest) {
            return;
        }
        mHasRecentDigest = hasRecentDigest;
        String reason =
                hasRecentDigest
                        ? "told by " + control.control()
                        : "no recent digest from "
                                + control.control()
                                + ", routing by own calls only";
        s.emit(
                new RouterEffect.LogDecision(
                        Decision.builder(s.now(), DecisionLogger.PROGRAM)
                                .choice(hasRecentDigest ? mTold : mNotTold, reason)
                                .build()));
    }
}
