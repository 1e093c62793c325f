package org.laurelweir.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.laurelweir.attempt.AttemptFrame;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.attempt.AttemptState;
import org.laurelweir.attempt.Frame;
import org.laurelweir.attempt.LoadHint;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.load.LoadDigest;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.MembershipDelta;
import org.laurelweir.membership.PlacementRules;
import org.laurelweir.placement.OutlierConfig;
import org.laurelweir.quarantine.CrashDelta;
import org.laurelweir.routing.RouterEffect.AnswerError;
import org.laurelweir.routing.RouterEffect.BeginAttempt;

/** Tests single decisions of a router, event by event. */
class RouterReducerTest {
    private static final RequestPolicy POLICY = FakeFleet.POLICY;

    private final RouterReducer mReducer =
            new RouterReducer(new RouterConfig("r", 1, 7, Duration.ofSeconds(1), 16));
    private final List<RouterEffect> mEffects = new ArrayList<>();
    private Instant mNow = Instant.EPOCH;

    @BeforeEach
    void announceFourSidecars() {
        List<Backend> backends = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            backends.add(backend("s" + i, Backend.State.SERVING));
        }
        step(exchange(true, backends));
    }

    private static Backend backend(String id, Backend.State state) {
        return new Backend(new BackendRef(id, 1), "svc", "dc", "rg", id, state, 1, 1);
    }

    private static RouterEvent exchange(boolean full, List<Backend> backends) {
        MembershipCursor cursor = new MembershipCursor("c", 1, 1);
        return new RouterEvent.ExchangeAnswered(
                new MembershipDelta(cursor, full, backends),
                CrashDelta.NONE,
                LoadDigest.NONE,
                List.of(),
                1,
                PlacementRules.NONE);
    }

    private void step(RouterEvent event) {
        mReducer.step(mNow, event, mEffects::add);
    }

    private void advance(Duration time) {
        mNow = mNow.plus(time);
        step(new RouterEvent.Tick());
    }

    private <E extends RouterEffect> List<E> effects(Class<E> type) {
        return mEffects.stream().filter(type::isInstance).map(type::cast).toList();
    }

    private <E extends RouterEffect> E lastEffect(Class<E> type) {
        List<E> all = effects(type);
        assertThat(all).as(type.getSimpleName()).isNotEmpty();
        return all.get(all.size() - 1);
    }

    private void sendRequest(long caller, boolean idempotent, String key, RequestPolicy policy) {
        AttemptRequest.Call call =
                new AttemptRequest.Call("POST", "/x", List.of(), new byte[0], false);
        CallerRequest request =
                new CallerRequest(
                        "acc",
                        "svc",
                        9,
                        false,
                        call,
                        idempotent,
                        key,
                        Duration.ofMinutes(1),
                        5,
                        new AttemptRequest.Cost(1, 1),
                        policy,
                        OutlierConfig.DEFAULT);
        step(new RouterEvent.RequestArrived(caller, request));
    }

    private void receiveFrame(Frame frame) {
        receiveFrame(frame, LoadHint.UNKNOWN);
    }

    private void receiveFrame(Frame frame, LoadHint load) {
        BeginAttempt begin = lastEffect(BeginAttempt.class);
        AttemptFrame f = new AttemptFrame(begin.request().id(), load, frame);
        step(new RouterEvent.FrameArrived(begin.stream(), f));
    }

    private void refuseLastAttempt(ResultCode code, String redirectTo) {
        receiveFrame(new Frame.Refused(code, "no", redirectTo, Duration.ofSeconds(3)));
    }

    private String untriedSidecar() {
        List<String> tried =
                effects(BeginAttempt.class).stream().map(BeginAttempt::address).toList();
        return List.of("s0", "s1", "s2", "s3").stream()
                .filter(s -> !tried.contains(s))
                .findFirst()
                .get();
    }

    @Test
    void redirectsAreFollowedTwiceBeforeTheRoutersOwnRanking() {
        sendRequest(1, true, "", POLICY);
        for (int i = 1; i <= 2; i++) {
            String target = untriedSidecar();
            refuseLastAttempt(ResultCode.OVERLOADED, target);
            assertThat(lastEffect(BeginAttempt.class).address()).isEqualTo(target);
            assertThat(lastEffect(BeginAttempt.class).request().redirects()).isEqualTo(i);
        }
        refuseLastAttempt(ResultCode.OVERLOADED, untriedSidecar());
        assertThat(effects(BeginAttempt.class)).hasSize(3);
        advance(POLICY.backoffMax());
        assertThat(effects(BeginAttempt.class)).hasSize(4);
    }

    // Guards against requests that fail although other servers have capacity. A sidecar redirects
    // to a backend server that the router already knows to be gone. The router uses its own ranking
    // instead of the redirect. A retry would fail once the retry budget is spent.
    @Test
    void redirectToAnUnknownServerFallsBackToTheRoutersRanking() {
        sendRequest(1, true, "", POLICY);
        refuseLastAttempt(ResultCode.CHAT_ELSEWHERE, "gone");
        assertThat(effects(BeginAttempt.class)).hasSize(2);
        assertThat(lastEffect(BeginAttempt.class).request().redirects()).isEqualTo(1);
    }

    @Test
    void overloadIsAnsweredAtOnceWithRetryAfter() {
        sendRequest(1, true, "", POLICY);
        refuseLastAttempt(ResultCode.OVERLOADED, "");
        AnswerError error = lastEffect(AnswerError.class);
        assertThat(error.code()).isEqualTo(ResultCode.OVERLOADED);
        assertThat(error.retryAfter()).isEqualTo(Duration.ofSeconds(3));
    }

    private static RequestPolicy withAccountLimits(int maxRunning, double rate) {
        return RequestPolicies.withAccountLimits(POLICY, maxRunning, rate);
    }

    // Guards against requests over the rate limit. Ten refills of a tenth of a token add up to
    // slightly less than one token. The wait for the rest is below a nanosecond. Rounded down to
    // zero, it would admit every request that arrives at that moment.
    @Test
    void tokensJustBelowOneDoNotAdmitARequest() {
        RequestPolicy slow = withAccountLimits(100, 1);
        sendRequest(1, true, "", slow);
        for (long caller = 2; caller <= 11; caller++) {
            advance(Duration.ofMillis(100));
            sendRequest(caller, true, "", slow);
        }
        sendRequest(12, true, "", slow);
        sendRequest(13, true, "", slow);
        assertThat(effects(BeginAttempt.class)).hasSizeLessThanOrEqualTo(2);
        assertThat(lastEffect(AnswerError.class).caller()).isEqualTo(13);
    }

    @Test
    void accountLimitsAreEnforced() {
        RequestPolicy limited = withAccountLimits(1, 2);
        sendRequest(1, true, "", limited);
        sendRequest(2, true, "", limited);
        assertThat(lastEffect(AnswerError.class).code()).isEqualTo(ResultCode.ACCOUNT_LIMIT);
        refuseLastAttempt(ResultCode.OVERLOADED, "");
        sendRequest(3, true, "", limited);
        refuseLastAttempt(ResultCode.OVERLOADED, "");
        sendRequest(4, true, "", limited);
        AnswerError error = lastEffect(AnswerError.class);
        assertThat(error.caller()).isEqualTo(4);
        assertThat(error.retryAfter()).isEqualTo(Duration.ofMillis(500));
        advance(Duration.ofMillis(500));
        sendRequest(5, true, "", limited);
        assertThat(lastEffect(BeginAttempt.class).request().id().request()).isEqualTo(5);
    }

    @Test
    void onlyTheNewPartOfAnOverlappingPieceIsForwarded() {
        sendRequest(1, true, "", POLICY);
        receiveFrame(new Frame.Head(200, List.of()));
        receiveFrame(new Frame.Data(0, new byte[] {1, 2, 3}));
        receiveFrame(new Frame.Data(1, new byte[] {2, 3, 4}));
        assertThat(lastEffect(RouterEffect.AnswerData.class).bytes()).containsExactly(4);
    }

    @Test
    void nextAttemptReplacesTheRefusedHolderOfTheClaim() {
        sendRequest(1, false, "key", POLICY);
        RouterEffect.Claim first = lastEffect(RouterEffect.Claim.class);
        grantClaim(first);
        refuseLastAttempt(ResultCode.OVERLOADED, untriedSidecar());
        RouterEffect.Claim second = lastEffect(RouterEffect.Claim.class);
        assertThat(second.attempt()).isEqualTo(first.attempt().next());
        assertThat(second.replaces()).isEqualTo(first.attempt());
    }

    // Guards against a claim that expires too early. The caller may resend until the retention
    // after its deadline is over, and the claim must hold until then, longer than the attempt may
    // run.
    @Test
    void claimOutlastsTheAttemptByTheRetention() {
        sendRequest(1, false, "key", POLICY);
        Duration retention = lastEffect(RouterEffect.Claim.class).retention();
        assertThat(retention).isEqualTo(Duration.ofMinutes(1).plus(POLICY.claimRetention()));
    }

    // Guards against a second run of a request that the caller resends through another router while
    // the first attempt still runs. This router sends nothing. It waits until the attempt has
    // ended, because the two routers would otherwise take its only stream from each other. Then it
    // reports the first outcome, which is "already run" because the output is gone. It does not
    // settle the claim, because it did not see the attempt's end itself.
    @Test
    void resendWaitsForTheFirstAttemptAndReportsItsOutcome() {
        sendRequest(1, false, "key", POLICY);
        RouterEffect.Claim claim = lastEffect(RouterEffect.Claim.class);
        AttemptId first = new AttemptId("r9", 4, 77, 1);
        BackendRef target = new BackendRef("s2", 1);
        step(
                new RouterEvent.ClaimAnswered(
                        claim.attempt(), ResultCode.OK, first, target, false, ResultCode.OK));
        assertThat(lastEffect(RouterEffect.Revoke.class).attempt()).isEqualTo(first);
        step(new RouterEvent.RevokeAnswered(1, first, AttemptState.RUNNING));
        assertThat(effects(RouterEffect.ResumeAttempt.class)).isEmpty();
        advance(POLICY.backoffMax());
        step(new RouterEvent.RevokeAnswered(1, first, AttemptState.FINISHED));
        RouterEffect.ResumeAttempt resume = lastEffect(RouterEffect.ResumeAttempt.class);
        assertThat(resume.offset()).isZero();
        Frame gone = new Frame.Failed(ResultCode.OUTPUT_NOT_KEPT, "gone");
        step(
                new RouterEvent.FrameArrived(
                        resume.stream(), new AttemptFrame(first, LoadHint.UNKNOWN, gone)));
        assertThat(lastEffect(AnswerError.class).code()).isEqualTo(ResultCode.ALREADY_RUN);
        assertThat(effects(BeginAttempt.class)).isEmpty();
        assertThat(effects(RouterEffect.SettleClaim.class)).isEmpty();
    }

    // Guards against the report "not run" for a request that runs. The begin message arrives twice,
    // and the sidecar refuses the second as a duplicate. Only a revocation tells the attempt's
    // state.
    @Test
    void duplicateRefusalDoesNotMeanNotRun() {
        sendRequest(1, false, "", POLICY);
        refuseLastAttempt(ResultCode.DUPLICATE_ATTEMPT, "");
        assertThat(effects(RouterEffect.Revoke.class)).hasSize(1);
        assertThat(effects(AnswerError.class)).isEmpty();
    }

    private void grantClaim(RouterEffect.Claim claim) {
        AttemptId id = claim.attempt();
        step(
                new RouterEvent.ClaimAnswered(
                        id, ResultCode.OK, id, claim.target(), false, ResultCode.OK));
    }

    // Guards against a stuck answer. The stream goes silent after half of the answer, because a
    // device between the two ends lost the state of the connection. The router drops the stream and
    // resumes the attempt over a new connection at the first missing byte.
    @Test
    void silentStreamIsResumedAtItsOffset() {
        sendRequest(1, false, "", POLICY);
        receiveFrame(new Frame.Head(200, List.of()));
        receiveFrame(new Frame.Data(0, new byte[5]));
        step(new RouterEvent.OutputConsumed(1, 5));
        advance(POLICY.silenceTimeout());
        assertThat(effects(RouterEffect.DropStream.class)).hasSize(1);
        RouterEffect.ResumeAttempt resume = lastEffect(RouterEffect.ResumeAttempt.class);
        assertThat(resume.offset()).isEqualTo(5);
        assertThat(resume.newConnection()).isTrue();
        AttemptId id = resume.attempt();
        Frame.End end = new Frame.End(5, Frame.Usage.NONE);
        step(
                new RouterEvent.FrameArrived(
                        resume.stream(), new AttemptFrame(id, LoadHint.UNKNOWN, end)));
        assertThat(effects(RouterEffect.AnswerEnd.class)).hasSize(1);
    }

    // Guards against the loss of a stream that only waits for its caller. A slow caller stops the
    // router from reading the stream, so that no frame arrives. A new connection would only repeat
    // that.
    @Test
    void slowCallerDoesNotMakeAStreamSilent() {
        sendRequest(1, true, "", POLICY);
        receiveFrame(new Frame.Head(200, List.of()));
        receiveFrame(new Frame.Data(0, new byte[5]));
        advance(POLICY.silenceTimeout().multipliedBy(3));
        assertThat(effects(RouterEffect.DropStream.class)).isEmpty();
    }

    // Guards against a false outcome. The stream of a request that may not be repeated is lost
    // before any answer, and the sidecar turns out to have restarted. No component can tell whether
    // the request ran. The caller receives "outcome unknown" at once, without advice to resend.
    @Test
    void restartedSidecarLeavesTheOutcomeUnknown() {
        sendRequest(1, false, "", POLICY);
        BeginAttempt begin = lastEffect(BeginAttempt.class);
        step(new RouterEvent.StreamLost(begin.stream(), true, "reset"));
        AttemptId id = begin.request().id();
        step(new RouterEvent.RevokeAnswered(1, id, AttemptState.OTHER_INCARNATION));
        AnswerError error = lastEffect(AnswerError.class);
        assertThat(error.code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
        assertThat(error.retryAfter()).isZero();
        assertThat(effects(BeginAttempt.class)).hasSize(1);
    }

    // Guards against sending a request without a claim. The control leader is unreachable. The
    // caller learns at once that the request was not run and when to retry.
    @Test
    void requestIsNotSentWithoutAClaim() {
        sendRequest(1, false, "key", POLICY);
        AttemptId id = lastEffect(RouterEffect.Claim.class).attempt();
        BackendRef target = lastEffect(RouterEffect.Claim.class).target();
        step(
                new RouterEvent.ClaimAnswered(
                        id, ResultCode.NO_QUORUM, id, target, false, ResultCode.OK));
        assertThat(lastEffect(AnswerError.class).code()).isEqualTo(ResultCode.CLAIM_UNAVAILABLE);
        assertThat(lastEffect(AnswerError.class).retryAfter()).isPositive();
        assertThat(effects(BeginAttempt.class)).isEmpty();
    }

    // Guards against cancelling a keyed request half way. Its caller disconnects while it runs. The
    // attempt finishes and its claim is settled, so that a resend finds the first outcome.
    @Test
    void keyedRequestFinishesAfterItsCallerDisconnects() {
        sendRequest(1, false, "key", POLICY);
        grantClaim(lastEffect(RouterEffect.Claim.class));
        receiveFrame(new Frame.Head(200, List.of()));
        step(new RouterEvent.CallerGone(1));
        receiveFrame(new Frame.Data(0, new byte[3]));
        step(new RouterEvent.StopRequested());
        assertThat(effects(RouterEffect.Stopped.class)).isEmpty();
        receiveFrame(new Frame.End(3, Frame.Usage.NONE));
        assertThat(effects(RouterEffect.CancelAttempt.class)).isEmpty();
        assertThat(effects(RouterEffect.AnswerData.class)).isEmpty();
        assertThat(lastEffect(RouterEffect.SettleClaim.class).code()).isEqualTo(ResultCode.OK);
        assertThat(effects(RouterEffect.Stopped.class)).hasSize(1);
    }

    @Test
    void sidecarThatReportsDrainingIsTriedLast() {
        sendRequest(1, true, "", POLICY);
        String home = lastEffect(BeginAttempt.class).address();
        receiveFrame(new Frame.Accepted(0), new LoadHint(1, 1, true));
        sendRequest(2, true, "", POLICY);
        assertThat(lastEffect(BeginAttempt.class).address()).isNotEqualTo(home);
    }

    // Guards against a request without an answer while the home of its chat leaves. A sidecar with
    // capacity redirects the request to the chat's home, which refuses it and names that sidecar as
    // the next in rank. The router tries that sidecar again: a redirect is not a refusal, and of
    // two servers no other is left.
    @Test
    void redirectingSidecarIsTriedAgain() {
        sendRequest(1, true, "", POLICY);
        String first = lastEffect(BeginAttempt.class).address();
        refuseLastAttempt(ResultCode.CHAT_ELSEWHERE, untriedSidecar());
        refuseLastAttempt(ResultCode.DRAINING, first);
        assertThat(effects(BeginAttempt.class)).hasSize(3);
        assertThat(lastEffect(BeginAttempt.class).address()).isEqualTo(first);
    }

    @Test
    void restartedSidecarIsTriedLastUntilItIsAnnounced() {
        sendRequest(1, true, "", POLICY);
        String home = lastEffect(BeginAttempt.class).address();
        refuseLastAttempt(ResultCode.OTHER_INCARNATION, "");
        sendRequest(2, true, "", POLICY);
        assertThat(lastEffect(BeginAttempt.class).address()).isNotEqualTo(home);
    }

    // Guards against moving all chats to one server. The router asks a control instance that has
    // just started and knows one sidecar so far. The other sidecars stay for a while, and are
    // removed only if control does not name them again.
    @Test
    void missingBackendServersAreKeptForAWhile() {
        step(exchange(true, List.of(backend("s0", Backend.State.SERVING))));
        advance(Duration.ofMillis(100));
        sendRequest(1, true, "", POLICY);
        refuseLastAttempt(ResultCode.DRAINING, "");
        advance(POLICY.backoffMax());
        assertThat(effects(BeginAttempt.class)).hasSize(2);
        advance(Duration.ofSeconds(10));
        sendRequest(2, true, "", POLICY);
        assertThat(lastEffect(BeginAttempt.class).address()).isEqualTo("s0");
    }
}
