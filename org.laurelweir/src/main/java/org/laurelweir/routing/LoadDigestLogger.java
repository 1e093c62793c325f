package org.laurelweir.routing;

import org.laurelweir.lib.Decision;
import org.laurelweir.load.LoadEstimator;
import org.laurelweir.membership.MembershipCursor;

/**
 * Logs when a router starts to use load digests from control, and when it falls back to the load of
 * its own calls alone.
 */
final class LoadDigestLogger {
    private static final String LOADS_TOLD = "LOADS_TOLD";
    private static final String LOADS_NOT_TOLD = "LOADS_NOT_TOLD";

    private final LoadEstimator mLoads;
    private boolean mHasRecentDigest;

    LoadDigestLogger(LoadEstimator loads) {
        mLoads = loads;
    }

    /**
     * Logs a change since the last call.
     *
     * @param control the run of the control instance that the router asks
     */
    void onTick(Step s, MembershipCursor control) {
        boolean hasRecentDigest = mLoads.hasRecentDigest(s.now());
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
                                .choice(hasRecentDigest ? LOADS_TOLD : LOADS_NOT_TOLD, reason)
                                .build()));
    }
}
