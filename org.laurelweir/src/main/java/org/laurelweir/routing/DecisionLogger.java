package org.laurelweir.routing;

import java.util.List;
import org.laurelweir.admission.SidecarSettings;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.Decision;
import org.laurelweir.placement.LoadBound;

/** Logs every routing decision with the inputs that it was made from. */
final class DecisionLogger {
    static final String PROGRAM = "router";

    /** The smallest bound of a sidecar. Routers only log the bound; sidecars alone enforce it. */
    private static final double CAPACITY_FLOOR = SidecarSettings.DEFAULT.bound().capacityFloor();

    private final RouterConfig mConfig;
    private final Placements mPlacements;

    DecisionLogger(RouterConfig config, Placements placements) {
        mConfig = config;
        mPlacements = placements;
    }

    /** Logs which backend server receives the request's next attempt. */
    void logChoice(Step s, ActiveRequest r, Placements.Choice choice) {
        String id = choice.target().ref().id();
        double load = mPlacements.load(id).runningWork();
        double mean = mPlacements.meanWork(r.mRequest.service());
        double bound = LoadBound.bound(mean, r.policy().boundFactor(), CAPACITY_FLOOR);
        String reason =
                r.mAttemptCount > 1 && !choice.reason().equals("redirect")
                        ? "retry_" + choice.reason()
                        : choice.reason();
        log(s, r, choice.candidates(), id, reason, load, bound);
    }

    /** Logs that the request ends with an error and has no further attempt. */
    void logGivenUp(Step s, ActiveRequest r, Failure failure) {
        log(s, r, List.of(), failure.code().name(), "given_up", 0, 0);
    }

    /**
     * Logs that the request's attempt is resumed on a new stream, or that its sidecar is asked
     * about the attempt's state.
     */
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
        CallerRequest request = r.mRequest;
        s.emit(
                new RouterEffect.LogDecision(
                        Decision.builder(s.now(), PROGRAM)
                                .request(requestName(r.mCaller))
                                .chat(request.chat())
                                .account(request.account())
                                .service(request.service())
                                .candidates(candidates)
                                .choice(choice, reason)
                                .load(load, bound)
                                .build()));
    }

    private String requestName(long caller) {
        return new AttemptId(mConfig.name(), mConfig.incarnation(), caller, 1).requestName();
    }
}
