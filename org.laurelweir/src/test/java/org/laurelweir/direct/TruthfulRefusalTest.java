package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laurelweir.direct.DirectRoutingDriver.GENUINE;
import static org.laurelweir.direct.DirectRoutingDriver.INVALID;
import static org.laurelweir.direct.DirectRoutingDriver.MISDIRECTED;
import static org.laurelweir.direct.DirectRoutingDriver.NOT_RUN;
import static org.laurelweir.direct.DirectRoutingDriver.SERVICE;
import static org.laurelweir.direct.DirectRoutingDriver.route;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.laurelweir.direct.DirectEffect.AnswerError;
import org.laurelweir.direct.DirectEffect.CancelCall;
import org.laurelweir.direct.DirectEffect.FindStream;
import org.laurelweir.direct.DirectEvent.Failure;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.resumption.OriginAnswer;
import org.laurelweir.resumption.StreamOrigin;

/**
 * Tests each path on which this router refuses a request by itself: a status that promises "not
 * run" is given only if no server may have run the request.
 */
class TruthfulRefusalTest {
    private static final Route NON_IDEMPOTENT = route(false, false, false);
    private static final Route IDEMPOTENT = route(true, false, false);
    private static final Route RESUMABLE = route(false, true, true);

    private final DirectRoutingDriver mDriver = new DirectRoutingDriver(4);

    private long lastCall() {
        return mDriver.lastCall().call();
    }

    private void fail(Failure failure) {
        mDriver.step(new DirectEvent.Failed(lastCall(), failure, "failed"));
    }

    private void refuseUntilEnd() {
        while (mDriver.all(AnswerError.class).isEmpty()) {
            mDriver.answer(lastCall(), 503, NOT_RUN);
        }
    }

    private void assertMayHaveRun(ResultCode code) {
        assertThat(mDriver.all(AnswerError.class)).hasSize(1);
        AnswerError error = mDriver.last(AnswerError.class);
        assertThat(error.code()).isEqualTo(code);
        assertThat(AnswerStatus.promisesNotRun(code.httpStatus())).isFalse();
        assertThat(error.retryAfter()).isZero();
        assertThat(mDriver.isIdle()).isTrue();
    }

    // Guards against a code for a request that may have run, with a status that promises the
    // opposite. The others with such a status come before a request is read, or never reach
    // callers.
    @Test
    void onlyCodesOfRequestsThatDidNotRunHaveAStatusThatPromisesIt() {
        List<ResultCode> others =
                Arrays.stream(ResultCode.values())
                        .filter(c -> AnswerStatus.promisesNotRun(c.httpStatus()))
                        .filter(c -> !c.isNotRun())
                        .toList();
        assertThat(others)
                .containsExactly(
                        ResultCode.REQUEST_TOO_SLOW,
                        ResultCode.TOO_MANY_CONNECTIONS,
                        ResultCode.NOT_LEADER,
                        ResultCode.NO_QUORUM,
                        ResultCode.POSSIBLY_STALE,
                        ResultCode.DISK_FULL,
                        ResultCode.UNREACHABLE);
    }

    // Guards against "not run" for a call that is cancelled at its deadline: it may have run.
    @Test
    void callCancelledAtTheDeadlineMayHaveRun() {
        mDriver.arrive(1, NON_IDEMPOTENT);
        long call = lastCall();
        mDriver.advance(Duration.ofSeconds(1));
        assertThat(mDriver.last(CancelCall.class).call()).isEqualTo(call);
        mDriver.answer(call, 503, NOT_RUN);
        assertMayHaveRun(ResultCode.DEADLINE_EXCEEDED);
    }

    // Guards against "not run" when the time left does not permit another attempt.
    @Test
    void lostCallWithoutTimeForAnotherMayHaveRun() {
        mDriver.arrive(1, IDEMPOTENT);
        mDriver.answer(lastCall(), 200, GENUINE);
        mDriver.advance(Duration.ofMillis(290));
        mDriver.step(new DirectEvent.DataReceived(lastCall(), new byte[1]));
        mDriver.advance(Duration.ofMillis(290));
        mDriver.step(new DirectEvent.DataReceived(lastCall(), new byte[1]));
        mDriver.advance(Duration.ofMillis(290));
        mDriver.step(new DirectEvent.DataReceived(lastCall(), new byte[1]));
        mDriver.advance(Duration.ofMillis(100));
        fail(Failure.CONNECTION_LOST);
        assertThat(mDriver.callCount()).isEqualTo(1);
        assertMayHaveRun(ResultCode.BACKEND_FAILED);
    }

    // Guards against "not run" because the last of several calls was never sent.
    @Test
    void unsentCallAfterALostOneMayHaveRun() {
        DirectRoutingDriver driver = new DirectRoutingDriver(2);
        driver.arrive(1, IDEMPOTENT);
        driver.step(new DirectEvent.Failed(1, Failure.CONNECTION_LOST, "reset"));
        driver.step(new DirectEvent.Failed(2, Failure.NOT_SENT, "refused"));
        assertThat(driver.callCount()).isEqualTo(2);
        assertThat(driver.last(AnswerError.class).code()).isEqualTo(ResultCode.BACKEND_FAILED);
        assertThat(driver.last(AnswerError.class).retryAfter()).isZero();
    }

    // Guards against a doubt where none is: a request of which no byte was sent did not run.
    @Test
    void requestThatWasNeverSentDidNotRun() {
        DirectRoutingDriver driver = new DirectRoutingDriver(1);
        driver.arrive(1, NON_IDEMPOTENT);
        driver.step(new DirectEvent.Failed(1, Failure.NOT_SENT, "refused"));
        assertThat(driver.last(AnswerError.class).code()).isEqualTo(ResultCode.OVERLOADED);
        assertThat(driver.last(AnswerError.class).retryAfter()).isPositive();
    }

    // Guards against "not run" because later servers refused what a silent one may have run.
    @Test
    void stalledCallMayHaveRun() {
        mDriver.arrive(1, IDEMPOTENT);
        mDriver.advance(Duration.ofMillis(310));
        assertThat(mDriver.callCount()).isEqualTo(2);
        refuseUntilEnd();
        assertMayHaveRun(ResultCode.BACKEND_FAILED);
    }

    // Guards against "not run" because the later calls reached other servers than intended.
    @Test
    void misdirectedCallAfterALostOneMayHaveRun() {
        DirectRoutingDriver driver = new DirectRoutingDriver(2);
        driver.arrive(1, IDEMPOTENT);
        driver.step(new DirectEvent.Failed(1, Failure.CONNECTION_LOST, "reset"));
        driver.answer(2, 421, MISDIRECTED);
        assertThat(driver.last(AnswerError.class).code()).isEqualTo(ResultCode.BACKEND_FAILED);
        assertThat(driver.last(AnswerError.class).retryAfter()).isZero();
    }

    // Guards against "not run" because an answer belonged to another request.
    @Test
    void callWithAnInvalidAnswerMayHaveRun() {
        mDriver.arrive(1, IDEMPOTENT);
        mDriver.answer(lastCall(), 503, INVALID);
        refuseUntilEnd();
        assertThat(mDriver.last(AnswerError.class).code()).isEqualTo(ResultCode.BACKEND_FAILED);
    }

    // Guards against "no backend server" for a request that its server ran before it drained.
    @Test
    void callLostToALeavingServerMayHaveRun() {
        DirectRoutingDriver driver = new DirectRoutingDriver(1);
        driver.arrive(1, NON_IDEMPOTENT);
        driver.drain("s0");
        driver.leave("s0");
        driver.step(new DirectEvent.Failed(1, Failure.CONNECTION_LOST, "reset"));
        assertThat(driver.last(AnswerError.class).code()).isEqualTo(ResultCode.BACKEND_FAILED);
    }

    // Guards against "quarantined", which promises "not run", for the request that crashed servers.
    @Test
    void requestQuarantinedWhileItRunsMayHaveRun() {
        for (int i = 0; i < 2; i++) {
            mDriver.arrive(1, IDEMPOTENT, Prompt.NONE, "same");
            fail(Failure.CONNECTION_LOST);
            mDriver.step(new DirectEvent.CallerGone(1));
        }
        mDriver.arrive(2, IDEMPOTENT, Prompt.NONE, "same");
        if (!mDriver.isIdle()) {
            fail(Failure.CONNECTION_LOST);
        }
        List<ResultCode> codes =
                mDriver.all(AnswerError.class).stream().map(AnswerError::code).toList();
        assertThat(codes).isNotEmpty().doesNotContain(ResultCode.REQUEST_QUARANTINED);
        mDriver.arrive(3, IDEMPOTENT, Prompt.NONE, "same");
        int calls = mDriver.callCount();
        AnswerError refused = mDriver.last(AnswerError.class);
        assertThat(refused.code()).isEqualTo(ResultCode.REQUEST_QUARANTINED);
        assertThat(refused.retryAfter()).isPositive();
        assertThat(mDriver.callCount()).isEqualTo(calls);
    }

    // Guards against a whole refusal after a part of a stream: its caller has events of a run.
    @Test
    void streamThatCannotGoOnIsCut() {
        mDriver.arrive(1, RESUMABLE);
        mDriver.answer(lastCall(), 200, GENUINE);
        byte[] event = "id: 1\ndata: a\n\n".getBytes(StandardCharsets.UTF_8);
        mDriver.step(new DirectEvent.DataReceived(lastCall(), event));
        fail(Failure.CONNECTION_LOST);
        refuseUntilEnd();
        assertMayHaveRun(ResultCode.ANSWER_CUT);
    }

    private void resume() {
        mDriver.resume(1, RESUMABLE, new Resumption("id9", "1"));
        StreamOrigin origin = new StreamOrigin(SERVICE, "");
        long lookup = mDriver.last(FindStream.class).lookup();
        OriginAnswer known = new OriginAnswer(Optional.of(origin), Optional.empty(), 3, 3);
        mDriver.step(new DirectEvent.StreamFound(lookup, known));
    }

    // Guards against "not run" for a request that goes on with a stream and was sent to a server.
    @Test
    void resumptionWhoseCallIsLostMayHaveRun() {
        resume();
        fail(Failure.CONNECTION_LOST);
        refuseUntilEnd();
        assertMayHaveRun(ResultCode.BACKEND_FAILED);
    }

    // Guards against the same for a status of its server that proves nothing.
    @Test
    void resumptionWithAnUnprovenStatusMayHaveRun() {
        resume();
        mDriver.answer(lastCall(), 429, GENUINE);
        refuseUntilEnd();
        assertMayHaveRun(ResultCode.BACKEND_FAILED);
    }

    // Guards against a doubt where none is: each server says that it did not run the request.
    @Test
    void resumptionThatAllServersRefuseDidNotRun() {
        resume();
        refuseUntilEnd();
        assertThat(mDriver.last(AnswerError.class).code()).isEqualTo(ResultCode.OVERLOADED);
    }

    // Guards against "not run" for a call whose answer was dropped since it is too large.
    @Test
    void callWithTooLargeAnAnswerMayHaveRun() {
        mDriver.arrive(1, NON_IDEMPOTENT);
        mDriver.answer(lastCall(), 200, GENUINE);
        int size = (int) AnswerLimits.DEFAULT.answerBytes() + 1;
        mDriver.step(new DirectEvent.DataReceived(lastCall(), new byte[size]));
        assertMayHaveRun(ResultCode.BACKEND_FAILED);
    }
}
