package org.laurelweir.routing;

import java.util.List;
import org.laurelweir.admission.SidecarSettings;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.Decision;
import org.laurelweir.placement.LoadBound;

/** Tells every routing decision with what it was made from. */
final class DecisionLogger {
    static final String PROGRAM = "router";

    /** What sidecars take at least; they alone apply the bound, routers only show it. */
    private static final double CAPACITY_FLOOR = SidecarSettings.DEFAULT.bound().capacityFloor();

    private final RouterConfig mConfig;
    private final Placements mPlacements;

    DecisionLogger(RouterConfig config, Placements placements) {
        mConfig = config;
        mPlacements = placements;
    }

    /** The request's next attempt goes to a backend server. */
    void logChoice(Step s, ActiveRequest r, Placements.Choice c) {
        String id = c.target().ref().id();
        double load = mPlacements.load(id).runningWork();
        double mean = mPlacements.meanWork(r.mRequest.service());
        double bound = LoadBound.bound(mean, r.policy().boundFactor(), CAPACITY_FLOOR);
        String reason =
                r.mAttemptCount > 1 && !c.reason().equals("redirect")
                        ? "retry_" + c.reason()
                        : c.reason();
        log(s, r, c.candidates(), id, reason, load, bound);
    }

    /** The request gets an error instead of an attempt, or instead of a further one. */
    void logGivenUp(Step s, ActiveRequest r, Failure f) {
        log(s, r, List.of(), f.code().name(), "given_up", 0, 0);
    }

    /** The request's attempt is followed over a new stream, or its sidecar asked about it. */
    void logRecovery(Step s, ActiveRequest r, String reason) {
        log(s, r, List.of(), r.mTarget.ref().id(), reason, 0, 0);
    }

    private void log(
            Step s,
            ActiveRequest r,
            List<String> candidates,
            String choice,
            String reason,
            double load,
            double bound) {
        CallerRequest q = r.mRequest;
        s.emit(
                new RouterEffect.LogDecision(
                        Decision.builder(s.now(), PROGRAM)
                                .request(requestName(r.mCaller))
                                .chat(q.chat())
                                .account(q.account())
                                .service(q.service())
                                .candidates(candidates)
                                .choice(choice, reason)
                                .load(load, bound)
                                .build()));
    }

    private String requestName(long caller) {
        return new AttemptId(mConfig.name(), mConfig.incarnation(), caller, 1).requestName();
    }
}
