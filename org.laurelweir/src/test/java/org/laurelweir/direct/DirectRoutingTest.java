package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laurelweir.direct.DirectRoutingDriver.GENUINE;
import static org.laurelweir.direct.DirectRoutingDriver.INVALID;
import static org.laurelweir.direct.DirectRoutingDriver.MISDIRECTED;
import static org.laurelweir.direct.DirectRoutingDriver.NOT_RUN;
import static org.laurelweir.direct.DirectRoutingDriver.route;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.laurelweir.answer.BodyFraming;
import org.laurelweir.direct.DirectEffect.AnswerComplete;
import org.laurelweir.direct.DirectEffect.AnswerData;
import org.laurelweir.direct.DirectEffect.AnswerEnd;
import org.laurelweir.direct.DirectEffect.AnswerError;
import org.laurelweir.direct.DirectEffect.AnswerHead;
import org.laurelweir.direct.DirectEffect.BeginCall;
import org.laurelweir.direct.DirectEffect.CancelCall;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.ResultCode;

/** Tests single decisions of {@link DirectRouting}, event by event. */
class DirectRoutingTest {
    private static final Route NON_IDEMPOTENT = route(false, false, false);
    private static final Route SINGLE_ATTEMPT = route(false, false, false, 1);
    private static final Route IDEMPOTENT = route(true, false, false);
    private static final Route STREAM = route(false, true, false);
    private static final Route RESUMABLE = route(false, true, true);

    /** Target time to the first token of a short chat. */
    private static final Duration SHORT_OBJECTIVE = Duration.ofMillis(400);

    private final DirectRoutingDriver mDriver = new DirectRoutingDriver(4);

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static AnswerMetadata withLoad(AnswerMetadata.ReportedLoad load) {
        return new AnswerMetadata(false, false, true, BodyFraming.LENGTH, Optional.of(load));
    }

    @Test
    void completeAnswerIsForwardedUnchanged() {
        mDriver.arrive(1, NON_IDEMPOTENT);
        long call = mDriver.lastCall().call();
        mDriver.answer(call, 201, GENUINE);
        mDriver.step(new DirectEvent.DataReceived(call, bytes("ab")));
        mDriver.step(new DirectEvent.DataReceived(call, bytes("c")));
        assertThat(mDriver.all(AnswerComplete.class)).isEmpty();
        mDriver.step(new DirectEvent.Finished(call));
        AnswerComplete answer = mDriver.last(AnswerComplete.class);
        assertThat(answer.status()).isEqualTo(201);
        assertThat(answer.body()).isEqualTo(bytes("abc"));
        assertThat(mDriver.isIdle()).isTrue();
    }

    @Test
    void nonIdempotentRequestIsNotRetriedAfterItMayHaveRun() {
        // The connection is lost after the request was sent. The server may have run the request,
        // and a second server would run it again. The caller must learn that the outcome is
        // unknown, not that the request was not run.
        mDriver.arrive(1, NON_IDEMPOTENT);
        mDriver.step(
                new DirectEvent.Failed(
                        mDriver.lastCall().call(), DirectEvent.Failure.CONNECTION_LOST, "reset"));
        assertThat(mDriver.callCount()).isEqualTo(1);
        AnswerError error = mDriver.last(AnswerError.class);
        assertThat(error.code()).isEqualTo(ResultCode.BACKEND_FAILED);
        assertThat(error.code().isNotRun()).isFalse();
        assertThat(error.retryAfter()).isZero();
    }

    @Test
    void unsentRequestGoesToAnotherServer() {
        mDriver.arrive(1, NON_IDEMPOTENT);
        BeginCall first = mDriver.lastCall();
        mDriver.step(
                new DirectEvent.Failed(
                        first.call(), DirectEvent.Failure.NOT_SENT, "can't connect"));
        assertThat(mDriver.callCount()).isEqualTo(2);
        assertThat(mDriver.lastCall().backend()).isNotEqualTo(first.backend());
    }

    @Test
    void requestIsRetriedIfTheServerSaysItDidNotRunIt() {
        mDriver.arrive(1, NON_IDEMPOTENT);
        BeginCall first = mDriver.lastCall();
        mDriver.answer(first.call(), 503, NOT_RUN);
        assertThat(mDriver.lastCall().backend()).isNotEqualTo(first.backend());
    }

    @Test
    void requestIsRejectedWithARetryDelayAfterTheLastAttempt() {
        mDriver.arrive(1, NON_IDEMPOTENT);
        for (int i = 0; i < 3; i++) {
            assertThat(mDriver.all(AnswerError.class)).isEmpty();
            mDriver.answer(mDriver.lastCall().call(), 503, NOT_RUN);
        }
        assertThat(mDriver.callCount()).isEqualTo(3);
        AnswerError error = mDriver.last(AnswerError.class);
        assertThat(error.code()).isEqualTo(ResultCode.OVERLOADED);
        assertThat(error.retryAfter()).isPositive().isLessThan(Duration.ofMillis(334));
        assertThat(mDriver.isIdle()).isTrue();
    }

    @Test
    void notRunIsNotReportedAfterAnAttemptWithUnknownOutcome() {
        // The first server closes the connection and may have run the request. The others state
        // that they did not run it, which proves nothing about the first.
        mDriver.arrive(1, IDEMPOTENT);
        mDriver.step(
                new DirectEvent.Failed(
                        mDriver.lastCall().call(), DirectEvent.Failure.CONNECTION_LOST, "reset"));
        mDriver.answer(mDriver.lastCall().call(), 503, NOT_RUN);
        mDriver.answer(mDriver.lastCall().call(), 503, NOT_RUN);
        assertThat(mDriver.last(AnswerError.class).code()).isEqualTo(ResultCode.BACKEND_FAILED);
    }

    @Test
    void requestIsRejectedAtOnceWithoutServers() {
        DirectRoutingDriver noServers = new DirectRoutingDriver(0);
        noServers.arrive(1, NON_IDEMPOTENT);
        assertThat(noServers.last(AnswerError.class).code())
                .isEqualTo(ResultCode.NO_BACKEND_SERVER);
        assertThat(noServers.last(AnswerError.class).retryAfter()).isPositive();
    }

    @Test
    void idempotentRequestIsRetriedAfterAFailure() {
        mDriver.arrive(1, IDEMPOTENT);
        BeginCall first = mDriver.lastCall();
        mDriver.answer(first.call(), 500, GENUINE);
        assertThat(mDriver.callCount()).isEqualTo(2);
        assertThat(mDriver.last(CancelCall.class).call()).isEqualTo(first.call());
    }

    @Test
    void errorAnswerOfTheLastServerIsForwarded() {
        DirectRoutingDriver oneServer = new DirectRoutingDriver(1);
        oneServer.arrive(1, IDEMPOTENT);
        long call = oneServer.lastCall().call();
        oneServer.answer(call, 500, GENUINE);
        oneServer.step(new DirectEvent.DataReceived(call, bytes("why")));
        oneServer.step(new DirectEvent.Finished(call));
        assertThat(oneServer.last(AnswerComplete.class).status()).isEqualTo(500);
        assertThat(oneServer.last(AnswerComplete.class).body()).isEqualTo(bytes("why"));
    }

    @Test
    void answerToAnotherRequestIsDiscarded() {
        // A late second answer to an earlier request arrives in place of the answer to this
        // request. If it were forwarded, a caller would read another caller's data.
        mDriver.arrive(1, NON_IDEMPOTENT);
        long call = mDriver.lastCall().call();
        mDriver.answer(call, 200, INVALID);
        mDriver.step(new DirectEvent.DataReceived(call, bytes("not yours")));
        mDriver.step(new DirectEvent.Finished(call));
        assertThat(mDriver.all(AnswerComplete.class)).isEmpty();
        assertThat(mDriver.last(AnswerError.class).code()).isEqualTo(ResultCode.BACKEND_FAILED);
        assertThat(mDriver.last(CancelCall.class).call()).isEqualTo(call);
    }

    @Test
    void addressOfAReplacedServerIsPassedOver() {
        mDriver.arrive(1, NON_IDEMPOTENT);
        BackendRef replaced = mDriver.lastCall().backend();
        mDriver.answer(mDriver.lastCall().call(), 421, MISDIRECTED);
        for (int i = 2; i < 60; i++) {
            mDriver.arrive(i, NON_IDEMPOTENT);
            assertThat(mDriver.lastCall().backend()).isNotEqualTo(replaced);
        }
    }

    // Guards against refusing requests although other servers have room, when the servers of a data
    // centre start again at their addresses and the route allows one attempt only.
    @Test
    void misdirectedRequestIsNoAttempt() {
        mDriver.arrive(1, SINGLE_ATTEMPT);
        BeginCall first = mDriver.lastCall();
        mDriver.answer(first.call(), 421, MISDIRECTED);
        assertThat(mDriver.all(AnswerError.class)).isEmpty();
        assertThat(mDriver.lastCall().backend()).isNotEqualTo(first.backend());
        mDriver.answer(mDriver.lastCall().call(), 503, NOT_RUN);
        assertThat(mDriver.last(AnswerError.class).code()).isEqualTo(ResultCode.OVERLOADED);
    }

    @Test
    void retryDelayIsShortAfterMisdirectedRequests() {
        // Another server at the address rejects the request, at each address. The new
        // servers may have room, so a retry delay as after overload would make the answer late for
        // no reason. After a
        // rejection by a full server the delay has to be longer.
        mDriver.arrive(1, SINGLE_ATTEMPT);
        for (int i = 0; i < 4; i++) {
            assertThat(mDriver.all(AnswerError.class)).isEmpty();
            mDriver.answer(mDriver.lastCall().call(), 421, MISDIRECTED);
        }
        AnswerError error = mDriver.last(AnswerError.class);
        assertThat(error.code().isNotRun()).isTrue();
        assertThat(error.retryAfter()).isPositive().isLessThan(SHORT_OBJECTIVE.dividedBy(8));
        mDriver.arrive(2, SINGLE_ATTEMPT);
        mDriver.answer(mDriver.lastCall().call(), 503, NOT_RUN);
        Duration full = mDriver.last(AnswerError.class).retryAfter();
        assertThat(full).isGreaterThan(SHORT_OBJECTIVE.dividedBy(8));
    }

    @Test
    void streamsAreForwardedInCompleteEvents() {
        mDriver.arrive(1, STREAM);
        long call = mDriver.lastCall().call();
        mDriver.answer(call, 200, GENUINE);
        assertThat(mDriver.last(AnswerHead.class).status()).isEqualTo(200);
        mDriver.step(new DirectEvent.DataReceived(call, bytes("id: 1\ndata: a\n\nid: 2\nda")));
        assertThat(mDriver.last(AnswerData.class).bytes()).isEqualTo(bytes("id: 1\ndata: a\n\n"));
        mDriver.step(new DirectEvent.DataReceived(call, bytes("ta: b\n\n")));
        assertThat(mDriver.last(AnswerData.class).bytes()).isEqualTo(bytes("id: 2\ndata: b\n\n"));
        mDriver.step(new DirectEvent.Finished(call));
        assertThat(mDriver.all(AnswerEnd.class)).hasSize(1);
    }

    @Test
    void resumableStreamContinuesAfterTheLastCompleteEvent() {
        // The server fails in the middle of event 2. The caller has received event 1. The next
        // server continues after event 1, and the incomplete event 2 is not forwarded.
        mDriver.arrive(1, RESUMABLE);
        long call = mDriver.lastCall().call();
        mDriver.answer(call, 200, GENUINE);
        mDriver.step(new DirectEvent.DataReceived(call, bytes("id: 1\ndata: a\n\nid: 2\nda")));
        mDriver.step(new DirectEvent.Failed(call, DirectEvent.Failure.CONNECTION_LOST, "reset"));
        BeginCall next = mDriver.lastCall();
        assertThat(next.resumeAfter()).isEqualTo("1");
        mDriver.answer(next.call(), 200, GENUINE);
        mDriver.step(new DirectEvent.DataReceived(next.call(), bytes("id: 2\ndata: b\n\n")));
        mDriver.step(new DirectEvent.Finished(next.call()));
        assertThat(mDriver.all(AnswerHead.class)).hasSize(1);
        assertThat(mDriver.all(AnswerData.class).stream().map(d -> new String(d.bytes())).toList())
                .containsExactly("id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n");
        assertThat(mDriver.all(AnswerEnd.class)).hasSize(1);
    }

    @Test
    void nonResumableStreamIsCut() {
        mDriver.arrive(1, STREAM);
        long call = mDriver.lastCall().call();
        mDriver.answer(call, 200, GENUINE);
        mDriver.step(new DirectEvent.DataReceived(call, bytes("id: 1\n\n")));
        mDriver.step(new DirectEvent.Failed(call, DirectEvent.Failure.CONNECTION_LOST, "reset"));
        assertThat(mDriver.callCount()).isEqualTo(1);
        assertThat(mDriver.all(AnswerEnd.class)).isEmpty();
        assertThat(mDriver.last(AnswerError.class).code()).isEqualTo(ResultCode.ANSWER_CUT);
    }

    @Test
    void requestFailsAtItsDeadline() {
        mDriver.arrive(1, NON_IDEMPOTENT);
        mDriver.advance(Duration.ofMillis(990));
        assertThat(mDriver.all(AnswerError.class)).isEmpty();
        mDriver.advance(Duration.ofMillis(10));
        assertThat(mDriver.last(AnswerError.class).code()).isEqualTo(ResultCode.DEADLINE_EXCEEDED);
        assertThat(mDriver.all(CancelCall.class)).hasSize(1);
        assertThat(mDriver.isIdle()).isTrue();
    }

    @Test
    void onlyRepeatableRequestsLeaveAStalledServer() {
        mDriver.arrive(1, IDEMPOTENT);
        mDriver.arrive(2, NON_IDEMPOTENT);
        mDriver.advance(Duration.ofMillis(310));
        assertThat(mDriver.callCount()).isEqualTo(3);
        assertThat(mDriver.lastCall().request().id()).isEqualTo("id1");
        assertThat(mDriver.lastCall().timeLeft()).isEqualTo(Duration.ofMillis(690));
    }

    @Test
    void callerThatDisconnectsCancelsOnlyRepeatableCalls() {
        mDriver.arrive(1, IDEMPOTENT);
        mDriver.step(new DirectEvent.CallerGone(1));
        assertThat(mDriver.all(CancelCall.class)).hasSize(1);
        assertThat(mDriver.isIdle()).isTrue();
        mDriver.arrive(2, NON_IDEMPOTENT);
        long call = mDriver.lastCall().call();
        mDriver.step(new DirectEvent.CallerGone(2));
        assertThat(mDriver.all(CancelCall.class)).hasSize(1);
        mDriver.answer(call, 200, GENUINE);
        mDriver.step(new DirectEvent.Finished(call));
        assertThat(mDriver.all(AnswerComplete.class)).isEmpty();
        assertThat(mDriver.isIdle()).isTrue();
    }

    @Test
    void retriesStopAtTheFleetBudget() {
        // Every call fails. The ten routers share a reserve of twelve retries in a time window, so
        // this router may retry once, however many requests fail.
        RetryLimits tight = new RetryLimits(0, 12, Duration.ofSeconds(10), 10, 1);
        DirectRoutingDriver driver = new DirectRoutingDriver(4, tight, 3);
        for (int i = 1; i <= 20; i++) {
            driver.arrive(i, IDEMPOTENT);
            driver.step(
                    new DirectEvent.Failed(
                            driver.lastCall().call(),
                            DirectEvent.Failure.CONNECTION_LOST,
                            "reset"));
        }
        assertThat(driver.callCount()).isEqualTo(21);
    }

    @Test
    void promptsWithTheSameSharedPartGoToOneServer() {
        Prompt prompt =
                new Prompt(
                        List.of(new Prompt.Part(7, 800), new Prompt.Part(8, 400), part(99)),
                        1210,
                        5);
        mDriver.arrive(1, STREAM, prompt);
        BackendRef home = mDriver.lastCall().backend();
        for (int i = 2; i < 6; i++) {
            long call = mDriver.lastCall().call();
            mDriver.answer(call, 200, GENUINE);
            mDriver.step(new DirectEvent.Finished(call));
            Prompt other =
                    new Prompt(
                            List.of(new Prompt.Part(7, 800), new Prompt.Part(8, 400), part(i)),
                            1210,
                            5);
            mDriver.arrive(i, STREAM, other);
            assertThat(mDriver.lastCall().backend()).isEqualTo(home);
        }
    }

    private static Prompt.Part part(long id) {
        return new Prompt.Part(id, 10);
    }

    // Guards against rejecting plain requests for seconds after each server was full once.
    @Test
    void plainRequestIsSentToAServerThatReportedItselfFull() {
        DirectRoutingDriver twoServers = new DirectRoutingDriver(2);
        AnswerMetadata full = withLoad(new AnswerMetadata.ReportedLoad(6, 1, 6));
        for (int caller = 1; caller <= 2; caller++) {
            twoServers.arrive(caller, IDEMPOTENT);
            twoServers.answer(twoServers.lastCall().call(), 200, full);
            twoServers.step(new DirectEvent.Finished(twoServers.lastCall().call()));
        }
        twoServers.arrive(3, IDEMPOTENT);
        assertThat(twoServers.callCount()).isEqualTo(3);
    }

    @Test
    void plainRequestIsRejectedIfThisRouterFillsEveryServer() {
        DirectRoutingDriver twoServers = new DirectRoutingDriver(2);
        AnswerMetadata lowLoad = withLoad(new AnswerMetadata.ReportedLoad(1, 0, 2));
        twoServers.arrive(1, IDEMPOTENT);
        twoServers.arrive(2, IDEMPOTENT);
        for (BeginCall call : twoServers.all(BeginCall.class)) {
            twoServers.answer(call.call(), 200, lowLoad);
            twoServers.step(new DirectEvent.Finished(call.call()));
        }
        for (int caller = 3; caller <= 7; caller++) {
            twoServers.arrive(caller, IDEMPOTENT);
        }
        assertThat(twoServers.callCount()).isEqualTo(2 + 4);
        assertThat(twoServers.last(AnswerError.class).code()).isEqualTo(ResultCode.OVERLOADED);
    }

    @Test
    void hotPromptPartSpillsOver() {
        Prompt prompt = new Prompt(List.of(new Prompt.Part(7, 800), part(1)), 810, 5);
        for (int i = 1; i <= 16; i++) {
            mDriver.arrive(i, STREAM, prompt);
        }
        long servers =
                mDriver.all(BeginCall.class).stream().map(BeginCall::backend).distinct().count();
        assertThat(servers).isGreaterThanOrEqualTo(3);
    }
}
