package org.laurelweir.direct;

import java.time.Instant;
import java.util.List;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.Decision;

/** Makes the log's records of decisions about requests, each under the caller's own name of it. */
final class RequestDecisions {
    private static final String PROGRAM = "router";

    DirectEffect.LogDecision serverChosen(
            ActiveRequest r, ServerChoice.Choice c, String fetchFrom, Instant now) {
        String place = r.mAttempts > 1 ? "retry_" + c.reason() : c.reason();
        String reason = fetchFrom.isEmpty() ? place : place + "_fetching from " + fetchFrom;
        return new DirectEffect.LogDecision(
                builder(r, now)
                        .candidates(c.candidates())
                        .choice(c.server().id(), reason)
                        .load(c.load(), c.bound())
                        .loadAgeMillis(c.loadAgeMillis())
                        .build());
    }

    DirectEffect.LogDecision ofReason(ActiveRequest r, String reason, Instant now) {
        return decision(r, now, List.of(), r.mBackend.id(), reason);
    }

    /**
     * Names what the call was, by which the same request is found under other servers' ends.
     *
     * @param why what the router saw: a connection that ended, or an answer that it can't take
     */
    DirectEffect.LogDecision outcomeUnknown(ActiveRequest r, String why, Instant now) {
        return ofReason(r, "outcome_unknown of " + r.key().fingerprintText() + ": " + why, now);
    }

    /** The server of a spoiled answer ended; the request may be at another one by now. */
    DirectEffect.LogDecision crashedAfterInvalidHead(
            ActiveRequest r, BackendRef server, Instant now) {
        String reason = "ended_after_bad_head of " + r.key().fingerprintText();
        return decision(r, now, List.of(), server.id(), reason);
    }

    /** The router waits no longer for this server; what becomes of it is not seen any more. */
    DirectEffect.LogDecision stalled(ActiveRequest r, Instant now) {
        return ofReason(r, "stalled of " + r.key().fingerprintText(), now);
    }

    DirectEffect.LogDecision answered(ActiveRequest r, Instant now) {
        return decision(r, now, List.of(), r.mBackend.id(), "answered_" + r.mStatus);
    }

    DirectEffect.LogDecision errorAnswered(
            ActiveRequest r, DirectEffect.AnswerError e, Instant now) {
        String reason = "given_up: " + e.message();
        return decision(r, now, List.copyOf(r.mTriedServers), e.code().name(), reason);
    }

    private static DirectEffect.LogDecision decision(
            ActiveRequest r, Instant now, List<String> candidates, String choice, String reason) {
        return new DirectEffect.LogDecision(
                builder(r, now).candidates(candidates).choice(choice, reason).build());
    }

    private static Decision.Builder builder(ActiveRequest r, Instant now) {
        return Decision.builder(now, PROGRAM)
                .request(r.mRequest.id())
                .chat(r.sharedPartId())
                .account(r.mRequest.account())
                .service(r.mService);
    }
}
