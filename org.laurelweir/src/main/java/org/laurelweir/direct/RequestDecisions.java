package org.laurelweir.direct;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.Decision;
import org.laurelweir.resumption.StreamOrigin;

/** Creates the decision log entries about requests, each under the request id of the caller. */
final class RequestDecisions {
    private static final String PROGRAM = "router";
    private static final String ORIGIN_UNKNOWN = "unknown";

    /** Maximum number of prompt parts in a log entry. */
    private static final int MAX_LISTED_PARTS = 16;

    DirectEffect.LogDecision serverChosen(
            ActiveRequest r, ServerChoice.Choice c, String fetchFrom, Instant now) {
        String placement = r.mAttemptCount > 1 ? "retry_" + c.reason() : c.reason();
        String reason = fetchFrom.isEmpty() ? placement : placement + "_fetching from " + fetchFrom;
        return new DirectEffect.LogDecision(
                builder(r, now)
                        .candidates(c.candidates())
                        .choice(c.server().id(), reason)
                        .load(c.load(), c.bound())
                        .loadAgeMillis(c.loadAgeMillis())
                        .version(c.version())
                        .build());
    }

    /** Returns the entry of a copy that is sent to a second server. */
    DirectEffect.LogDecision hedgeSent(ActiveRequest r, ServerChoice.Choice c, Instant now) {
        long waited = Duration.between(r.mCallStart, now).toMillis();
        String reason = "hedge_sent: " + c.reason() + ", after " + waited + " ms at ";
        return new DirectEffect.LogDecision(
                builder(r, now)
                        .candidates(c.candidates())
                        .choice(c.server().id(), reason + r.mBackend.id())
                        .load(c.load(), c.bound())
                        .loadAgeMillis(c.loadAgeMillis())
                        .version(c.version())
                        .build());
    }

    /** Returns the entry of a second call that ended or was cancelled. */
    DirectEffect.LogDecision hedgeLost(
            ActiveRequest r, BackendRef server, String why, Instant now) {
        return decision(r, now, List.of(), server.id(), "hedge_lost: " + why);
    }

    /** Returns the entry of a request that goes on with a stream. */
    DirectEffect.LogDecision resumptionRequested(ActiveRequest r, Instant now) {
        Resumption resumption = r.mRequest.resumption();
        String reason = "resumes after event " + resumption.lastEvent();
        return decision(r, now, List.of(), resumption.firstRequest(), reason);
    }

    /**
     * Returns the entry of what began a stream that a caller goes on with.
     *
     * @param source who knows it, or why nobody does
     */
    DirectEffect.LogDecision originFound(
            ActiveRequest r, Optional<StreamOrigin> origin, String source, Instant now) {
        return new DirectEffect.LogDecision(
                builder(r, now)
                        .choice(
                                origin.map(StreamOrigin::service).orElse(ORIGIN_UNKNOWN),
                                "stream_origin " + source)
                        .version(origin.map(StreamOrigin::version).orElse(""))
                        .build());
    }

    /** Returns the entry of a stream that begins without a record of its origin at control. */
    DirectEffect.LogDecision originNotRecorded(ActiveRequest r, String why, Instant now) {
        return new DirectEffect.LogDecision(
                builder(r, now)
                        .choice(r.mBackend.id(), "stream_origin_unrecorded: " + why)
                        .version(r.mCallVersion)
                        .build());
    }

    /**
     * Returns the entry of a server that has started anew, with another version, under its name.
     */
    DirectEffect.LogDecision laterRunAnswers(ActiveRequest r, Instant now) {
        String reason = "started_anew, the stream is of version " + r.mRequiredVersion;
        return new DirectEffect.LogDecision(
                builder(r, now).choice(r.mCallRun.id(), reason).version(r.mCallVersion).build());
    }

    DirectEffect.LogDecision withReason(ActiveRequest r, String reason, Instant now) {
        return decision(r, now, List.of(), r.mBackend.id(), reason);
    }

    /**
     * Returns the entry of a call whose outcome is unknown. The fingerprint in it identifies the
     * request in other servers' crashes too, and so do the shared parts of its prompt.
     *
     * @param why what the router observed: a lost connection, or an answer that it cannot accept
     */
    DirectEffect.LogDecision outcomeUnknown(ActiveRequest r, String why, Instant now) {
        String reason = "outcome_unknown of " + r.key().idText() + ": " + why;
        return withReason(r, reason + sharedParts(r), now);
    }

    private static String sharedParts(ActiveRequest r) {
        List<Long> ids = r.sharedPartIds();
        if (ids.isEmpty()) {
            return "";
        }
        String listed =
                ids.stream()
                        .limit(MAX_LISTED_PARTS)
                        .map(Long::toHexString)
                        .collect(Collectors.joining(","));
        return "; prompt parts " + listed + (ids.size() > MAX_LISTED_PARTS ? ",..." : "");
    }

    /**
     * Returns the entry of a server that crashed after the head of an invalid answer. The request
     * may be at another server by now, so the server is given.
     */
    DirectEffect.LogDecision crashedAfterInvalidHead(
            ActiveRequest r, BackendRef server, Instant now) {
        String reason = "ended_after_bad_head of " + r.key().idText();
        return decision(r, now, List.of(), server.id(), reason);
    }

    /**
     * Returns the entry of a server that refuses connections after its connection ended an answer.
     */
    DirectEffect.LogDecision crashedAtUnconfirmedEnd(
            RequestSummary r, BackendRef server, Instant now) {
        String reason = "ended_with_answer of " + r.key().idText();
        return new DirectEffect.LogDecision(
                Decision.builder(now, PROGRAM)
                        .request(r.id())
                        .chat(r.sharedPartId())
                        .account(r.key().account())
                        .service(r.service())
                        .choice(server.id(), reason)
                        .build());
    }

    /** Returns the entry of a stalled call, whose later outcome the router does not observe. */
    DirectEffect.LogDecision stalled(ActiveRequest r, Instant now) {
        return withReason(r, "stalled of " + r.key().idText(), now);
    }

    /**
     * Returns the entry of an answer that was forwarded. It tells if nothing proves that the answer
     * is complete.
     */
    DirectEffect.LogDecision answered(ActiveRequest r, Instant now) {
        String end = r.mFraming.provesEnd() ? "" : ", ended by its connection";
        return withReason(r, "answered_" + r.mStatus + end, now);
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
