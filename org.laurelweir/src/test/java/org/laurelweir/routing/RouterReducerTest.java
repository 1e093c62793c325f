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
import org.laurelweir.placement.OutlierConfig;
import org.laurelweir.quarantine.CrashDelta;
import org.laurelweir.routing.RouterEffect.AnswerError;
import org.laurelweir.routing.RouterEffect.BeginAttempt;

/** Single decisions of a router, event by event. */
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
        give(exchange(true, backends));
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
                1);
    }

    private void give(RouterEvent event) {
        mReducer.step(mNow, event, mEffects::add);
    }

    private void pass(Duration time) {
        mNow = mNow.plus(time);
        give(new RouterEvent.Tick());
    }

    private <E extends RouterEffect> List<E> all(Class<E> type) {
        return mEffects.stream().filter(type::isInstance).map(type::cast).toList();
    }

    private <E extends RouterEffect> E last(Class<E> type) {
        List<E> all = all(type);
        assertThat(all).as(type.getSimpleName()).isNotEmpty();
        return all.get(all.size() - 1);
    }

    private void arrive(long caller, boolean idempotent, String key, RequestPolicy policy) {
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
        give(new RouterEvent.RequestArrived(caller, request));
    }

    private void frame(Frame frame) {
        frame(frame, LoadHint.UNKNOWN);
    }

    private void frame(Frame frame, LoadHint load) {
        BeginAttempt begin = last(BeginAttempt.class);
        AttemptFrame f = new AttemptFrame(begin.request().id(), load, frame);
        give(new RouterEvent.FrameArrived(begin.stream(), f));
    }

    private void refuse(ResultCode code, String redirectTo) {
        frame(new Frame.Refused(code, "no", redirectTo, Duration.ofSeconds(3)));
    }

    private String untried() {
        List<String> tried = all(BeginAttempt.class).stream().map(BeginAttempt::address).toList();
        return List.of("s0", "s1", "s2", "s3").stream()
                .filter(s -> !tried.contains(s))
                .findFirst()
                .get();
    }

    @Test
    void redirectsAreFollowedTwiceAndThenTheOwnRanking() {
        arrive(1, true, "", POLICY);
        for (int i = 1; i <= 2; i++) {
            String named = untried();
            refuse(ResultCode.OVERLOADED, named);
            assertThat(last(BeginAttempt.class).address()).isEqualTo(named);
            assertThat(last(BeginAttempt.class).request().redirects()).isEqualTo(i);
        }
        refuse(ResultCode.OVERLOADED, untried());
        assertThat(all(BeginAttempt.class)).hasSize(3);
        pass(POLICY.backoffMax());
        assertThat(all(BeginAttempt.class)).hasSize(4);
    }

    // A sidecar sends the request on to a backend server that is gone, which this router knows
    // already. Counted as a retry, the caller would be refused once the budget is spent, although
    // others have room; the router's own ranking takes the redirect's place.
    @Test
    void redirectToAnUnknownServerGivesWayToTheOwnRanking() {
        arrive(1, true, "", POLICY);
        refuse(ResultCode.CHAT_ELSEWHERE, "gone");
        assertThat(all(BeginAttempt.class)).hasSize(2);
        assertThat(last(BeginAttempt.class).request().redirects()).isEqualTo(1);
    }

    @Test
    void overloadIsToldAtOnceWithTheTimeToComeBack() {
        arrive(1, true, "", POLICY);
        refuse(ResultCode.OVERLOADED, "");
        AnswerError error = last(AnswerError.class);
        assertThat(error.code()).isEqualTo(ResultCode.OVERLOADED);
        assertThat(error.retryAfter()).isEqualTo(Duration.ofSeconds(3));
    }

    private static RequestPolicy limited(int maxRunning, double rate) {
        return Policies.limited(POLICY, maxRunning, rate);
    }

    // An account asks so often that its refills of a tenth each add up to a hair less than one
    // start. What is missing takes less than a nanosecond, and must not count as nothing missing:
    // all that came at that moment would start.
    @Test
    void hairMissingFromOneStartIsStillMissing() {
        RequestPolicy slow = limited(100, 1);
        arrive(1, true, "", slow);
        for (long caller = 2; caller <= 11; caller++) {
            pass(Duration.ofMillis(100));
            arrive(caller, true, "", slow);
        }
        arrive(12, true, "", slow);
        arrive(13, true, "", slow);
        assertThat(all(BeginAttempt.class)).hasSizeLessThanOrEqualTo(2);
        assertThat(last(AnswerError.class).caller()).isEqualTo(13);
    }

    @Test
    void accountsAreHeldToTheirLimits() {
        RequestPolicy narrow = limited(1, 2);
        arrive(1, true, "", narrow);
        arrive(2, true, "", narrow);
        assertThat(last(AnswerError.class).code()).isEqualTo(ResultCode.ACCOUNT_LIMIT);
        refuse(ResultCode.OVERLOADED, "");
        arrive(3, true, "", narrow);
        refuse(ResultCode.OVERLOADED, "");
        arrive(4, true, "", narrow);
        AnswerError error = last(AnswerError.class);
        assertThat(error.caller()).isEqualTo(4);
        assertThat(error.retryAfter()).isEqualTo(Duration.ofMillis(500));
        pass(Duration.ofMillis(500));
        arrive(5, true, "", narrow);
        assertThat(last(BeginAttempt.class).request().id().request()).isEqualTo(5);
    }

    @Test
    void onlyTheMissingPartOfAnOverlappingPieceIsPassedOn() {
        arrive(1, true, "", POLICY);
        frame(new Frame.Head(200, List.of()));
        frame(new Frame.Data(0, new byte[] {1, 2, 3}));
        frame(new Frame.Data(1, new byte[] {2, 3, 4}));
        assertThat(last(RouterEffect.AnswerData.class).bytes()).containsExactly(4);
    }

    @Test
    void nextAttemptTakesTheClaimOfTheOneThatWasRefused() {
        arrive(1, false, "key", POLICY);
        RouterEffect.Claim first = last(RouterEffect.Claim.class);
        grant(first);
        refuse(ResultCode.OVERLOADED, untried());
        RouterEffect.Claim second = last(RouterEffect.Claim.class);
        assertThat(second.attempt()).isEqualTo(first.attempt().next());
        assertThat(second.replaces()).isEqualTo(first.attempt());
    }

    // The caller resends just before its time to do so is over, counted from its deadline. The
    // claim must still stand then: it is asked for as long, and longer than the attempt may run.
    @Test
    void claimOutlastsTheAttemptByTheRetention() {
        arrive(1, false, "key", POLICY);
        Duration asked = last(RouterEffect.Claim.class).retention();
        assertThat(asked).isEqualTo(Duration.ofMinutes(1).plus(POLICY.claimRetention()));
    }

    // The caller sends its order again, through another router than the first time, while the first
    // attempt still runs for that one. Nothing is sent a second time. This router waits until the
    // attempt has ended, for taking its only stream would have the two take it from each other;
    // then it hands on the first outcome. The output is gone by then, so that is "already run".
    // The claim is not settled by a router that knows the end only from hearsay.
    @Test
    void resendWaitsForTheFirstAttemptAndTellsItsOutcome() {
        arrive(1, false, "key", POLICY);
        RouterEffect.Claim claim = last(RouterEffect.Claim.class);
        AttemptId first = new AttemptId("r9", 4, 77, 1);
        BackendRef target = new BackendRef("s2", 1);
        give(
                new RouterEvent.ClaimAnswered(
                        claim.attempt(), ResultCode.OK, first, target, false, ResultCode.OK));
        assertThat(last(RouterEffect.Revoke.class).attempt()).isEqualTo(first);
        give(new RouterEvent.RevokeAnswered(1, first, AttemptState.RUNNING));
        assertThat(all(RouterEffect.ResumeAttempt.class)).isEmpty();
        pass(POLICY.backoffMax());
        give(new RouterEvent.RevokeAnswered(1, first, AttemptState.FINISHED));
        RouterEffect.ResumeAttempt resume = last(RouterEffect.ResumeAttempt.class);
        assertThat(resume.offset()).isZero();
        Frame gone = new Frame.Failed(ResultCode.OUTPUT_NOT_KEPT, "gone");
        give(
                new RouterEvent.FrameArrived(
                        resume.stream(), new AttemptFrame(first, LoadHint.UNKNOWN, gone)));
        assertThat(last(AnswerError.class).code()).isEqualTo(ResultCode.ALREADY_RUN);
        assertThat(all(BeginAttempt.class)).isEmpty();
        assertThat(all(RouterEffect.SettleClaim.class)).isEmpty();
    }

    // The message that begins an attempt arrives twice, and the second is refused as a duplicate.
    // The first may run: only asking for the attempt's state tells.
    @Test
    void duplicateIsNotTakenForNotRun() {
        arrive(1, false, "", POLICY);
        refuse(ResultCode.DUPLICATE_ATTEMPT, "");
        assertThat(all(RouterEffect.Revoke.class)).hasSize(1);
        assertThat(all(AnswerError.class)).isEmpty();
    }

    private void grant(RouterEffect.Claim claim) {
        AttemptId id = claim.attempt();
        give(
                new RouterEvent.ClaimAnswered(
                        id, ResultCode.OK, id, claim.target(), false, ResultCode.OK));
    }

    // The caller has half of its answer when the stream falls silent, as something between the
    // ends lost track of the connection. The router leaves it, follows the same attempt over a new
    // one from the first byte that is missing, and the caller gets the rest.
    @Test
    void silentStreamIsResumedAtItsOffset() {
        arrive(1, false, "", POLICY);
        frame(new Frame.Head(200, List.of()));
        frame(new Frame.Data(0, new byte[5]));
        give(new RouterEvent.OutputConsumed(1, 5));
        pass(POLICY.silenceTimeout());
        assertThat(all(RouterEffect.DropStream.class)).hasSize(1);
        RouterEffect.ResumeAttempt resume = last(RouterEffect.ResumeAttempt.class);
        assertThat(resume.offset()).isEqualTo(5);
        assertThat(resume.newConnection()).isTrue();
        AttemptId id = resume.attempt();
        Frame.End end = new Frame.End(5, Frame.Usage.NONE);
        give(
                new RouterEvent.FrameArrived(
                        resume.stream(), new AttemptFrame(id, LoadHint.UNKNOWN, end)));
        assertThat(all(RouterEffect.AnswerEnd.class)).hasSize(1);
    }

    // A caller that reads slowly keeps its stream from being read, so no frame is heard. That is
    // no silence of the connection: leaving it would only repeat the wait over new ones.
    @Test
    void slowCallerIsNoSilentStream() {
        arrive(1, true, "", POLICY);
        frame(new Frame.Head(200, List.of()));
        frame(new Frame.Data(0, new byte[5]));
        pass(POLICY.silenceTimeout().multipliedBy(3));
        assertThat(all(RouterEffect.DropStream.class)).isEmpty();
    }

    // The stream of a request that may not be repeated is lost before any answer, and then the
    // sidecar turns out to have been restarted. Nobody can tell whether it ran; the caller learns
    // just that, at once, and without advice to send it again.
    @Test
    void restartedSidecarLeavesTheOutcomeUnknown() {
        arrive(1, false, "", POLICY);
        BeginAttempt begin = last(BeginAttempt.class);
        give(new RouterEvent.StreamLost(begin.stream(), true, "reset"));
        AttemptId id = begin.request().id();
        give(new RouterEvent.RevokeAnswered(1, id, AttemptState.OTHER_INCARNATION));
        AnswerError error = last(AnswerError.class);
        assertThat(error.code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
        assertThat(error.retryAfter()).isZero();
        assertThat(all(BeginAttempt.class)).hasSize(1);
    }

    // The control leader can't be reached. The request has not been sent, and without a claim it
    // must not be: the caller is told at once that it was not run and when to come back.
    @Test
    void noClaimMeansNotRun() {
        arrive(1, false, "key", POLICY);
        AttemptId id = last(RouterEffect.Claim.class).attempt();
        BackendRef target = last(RouterEffect.Claim.class).target();
        give(
                new RouterEvent.ClaimAnswered(
                        id, ResultCode.NO_QUORUM, id, target, false, ResultCode.OK));
        assertThat(last(AnswerError.class).code()).isEqualTo(ResultCode.CLAIM_UNAVAILABLE);
        assertThat(last(AnswerError.class).retryAfter()).isPositive();
        assertThat(all(BeginAttempt.class)).isEmpty();
    }

    // The caller of a keyed order hangs up while it runs. The order is not cancelled half way; it
    // ends, and its claim is settled, so that the caller's resend finds the first outcome.
    @Test
    void keyedRequestOutlivesItsCaller() {
        arrive(1, false, "key", POLICY);
        grant(last(RouterEffect.Claim.class));
        frame(new Frame.Head(200, List.of()));
        give(new RouterEvent.CallerGone(1));
        frame(new Frame.Data(0, new byte[3]));
        give(new RouterEvent.StopRequested());
        assertThat(all(RouterEffect.Stopped.class)).isEmpty();
        frame(new Frame.End(3, Frame.Usage.NONE));
        assertThat(all(RouterEffect.CancelAttempt.class)).isEmpty();
        assertThat(all(RouterEffect.AnswerData.class)).isEmpty();
        assertThat(last(RouterEffect.SettleClaim.class).code()).isEqualTo(ResultCode.OK);
        assertThat(all(RouterEffect.Stopped.class)).hasSize(1);
    }

    @Test
    void drainingSidecarIsPassedOverFromItsFirstWordOn() {
        arrive(1, true, "", POLICY);
        String home = last(BeginAttempt.class).address();
        frame(new Frame.Accepted(0), new LoadHint(1, 1, true));
        arrive(2, true, "", POLICY);
        assertThat(last(BeginAttempt.class).address()).isNotEqualTo(home);
    }

    // The caller is answered although the home of its chat leaves. A sidecar that has room sends
    // the chat on to its home, which refuses, and names that sidecar as the next in rank. It is
    // asked again: sending on is not refusing, and with two servers nobody else is left.
    @Test
    void sidecarThatSentAChatOnIsAskedAgain() {
        arrive(1, true, "", POLICY);
        String first = last(BeginAttempt.class).address();
        refuse(ResultCode.CHAT_ELSEWHERE, untried());
        refuse(ResultCode.DRAINING, first);
        assertThat(all(BeginAttempt.class)).hasSize(3);
        assertThat(last(BeginAttempt.class).address()).isEqualTo(first);
    }

    @Test
    void restartedSidecarIsTriedLastUntilItIsAnnounced() {
        arrive(1, true, "", POLICY);
        String home = last(BeginAttempt.class).address();
        refuse(ResultCode.OTHER_INCARNATION, "");
        arrive(2, true, "", POLICY);
        assertThat(last(BeginAttempt.class).address()).isNotEqualTo(home);
    }

    // The router turns to a control instance that has just started and has heard of one sidecar so
    // far. Taken at its word, the others' chats would all move there; they stay for a while, and
    // go only if nobody names them again.
    @Test
    void missingBackendServersStayForAWhile() {
        give(exchange(true, List.of(backend("s0", Backend.State.SERVING))));
        pass(Duration.ofMillis(100));
        arrive(1, true, "", POLICY);
        refuse(ResultCode.DRAINING, "");
        pass(POLICY.backoffMax());
        assertThat(all(BeginAttempt.class)).hasSize(2);
        pass(Duration.ofSeconds(10));
        arrive(2, true, "", POLICY);
        assertThat(last(BeginAttempt.class).address()).isEqualTo("s0");
    }
}
