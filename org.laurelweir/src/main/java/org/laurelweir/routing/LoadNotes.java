package org.laurelweir.routing;

import org.laurelweir.lib.Decision;
import org.laurelweir.load.LoadEstimator;
import org.laurelweir.membership.MembershipCursor;

/** Words for the log when a router is told of loads, and when it goes by its own calls alone. */
final class LoadNotes {
    private static final String LOADS_TOLD = "LOADS_TOLD";
    private static final String LOADS_NOT_TOLD = "LOADS_NOT_TOLD";

    private final LoadEstimator mLoads;
    private boolean mHasRecentDigest;

    LoadNotes(LoadEstimator loads) {
        mLoads = loads;
    }

    /**
     * Writes what changed since the last call.
     *
     * @param control who is asked
     */
    void onTick(Step s, MembershipCursor control) {
        boolean told = mLoads.hasRecentDigest(s.now());
        if (told == mHasRecentDigest) {
            return;
        }
        mHasRecentDigest = told;
        String reason =
                told
                        ? "told by " + control.control()
                        : "not told any more by " + control.control() + ", own calls decide";
        s.emit(
                new RouterEffect.LogDecision(
                        Decision.builder(s.now(), DecisionLogger.PROGRAM)
                                .choice(told ? LOADS_TOLD : LOADS_NOT_TOLD, reason)
                                .build()));
    }
}
