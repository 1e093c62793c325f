package org.laurelweir.direct;

import java.time.Instant;
import java.util.List;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.Decision;

/** Makes the log's records of decisions about requests, each under the caller's own name of it. */
final class Reports {
    private static final String PROGRAM = "router";

    DirectEffect.LogDecision chose(
            ActiveCall r, ServerChoice.Chosen c, String fetchFrom, Instant now) {
        String place = r.mArrivals > 1 ? "retry_" + c.reason() : c.reason();
        String reason = fetchFrom.isEmpty() ? place : place + "_fetching from " + fetchFrom;
        return new DirectEffect.LogDecision(
                about(r, now)
                        .candidates(c.candidates())
                        .choice(c.server().id(), reason)
                        .load(c.load(), c.bound())
                        .loadAgeMillis(c.loadAgeMillis())
                        .build());
    }

    DirectEffect.LogDecision said(ActiveCall r, String reason, Instant now) {
        return decided(r, now, List.of(), r.mBackend.id(), reason);
    }

    /**
     * Names what the call was, by which the same request is found under other servers' ends.
     *
     * @param why what the router saw: a connection that ended, or an answer that it can't take
     */
    DirectEffect.LogDecision outcomeUnknown(ActiveCall r, String why, Instant now) {
        return said(r, "outcome_unknown of " + r.key().fingerprintText() + ": " + why, now);
    }

    /** The server of a spoiled answer ended; the request may be at another one by now. */
    DirectEffect.LogDecision endedAfterBadHead(ActiveCall r, BackendRef server, Instant now) {
        String reason = "ended_after_bad_head of " + r.key().fingerprintText();
        return decided(r, now, List.of(), server.id(), reason);
    }

    /** The router waits no longer for this server; what becomes of it is not seen any more. */
    DirectEffect.LogDecision stalled(ActiveCall r, Instant now) {
        return said(r, "stalled of " + r.key().fingerprintText(), now);
    }

    DirectEffect.LogDecision answered(ActiveCall r, Instant now) {
        return decided(r, now, List.of(), r.mBackend.id(), "answered_" + r.mStatus);
    }

    DirectEffect.LogDecision gaveUp(ActiveCall r, DirectEffect.AnswerError e, Instant now) {
        String reason = "given_up: " + e.message();
        return decided(r, now, List.copyOf(r.mTried), e.code().name(), reason);
    }

    private static DirectEffect.LogDecision decided(
            ActiveCall r, Instant now, List<String> candidates, String choice, String reason) {
        return new DirectEffect.LogDecision(
                about(r, now).candidates(candidates).choice(choice, reason).build());
    }

    private static Decision.Builder about(ActiveCall r, Instant now) {
        return Decision.builder(now, PROGRAM)
                .request(r.mRequest.id())
                .chat(r.part())
                .account(r.mRequest.account())
                .service(r.mService);
    }
}
