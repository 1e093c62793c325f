package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laurelweir.direct.DirectRoutingDriver.GENUINE;
import static org.laurelweir.direct.DirectRoutingDriver.INVALID;
import static org.laurelweir.direct.DirectRoutingDriver.NOT_RUN;
import static org.laurelweir.direct.DirectRoutingDriver.route;

import java.time.Duration;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.laurelweir.direct.DirectEffect.AnswerComplete;
import org.laurelweir.direct.DirectEffect.AnswerError;
import org.laurelweir.direct.DirectEffect.CancelCall;
import org.laurelweir.direct.DirectEffect.LogDecision;
import org.laurelweir.direct.DirectEvent.Failure;
import org.laurelweir.lib.ResultCode;

/** Tests how a router handles requests under which backend servers crash. */
class CrashGuardTest {
    private static final Route NON_IDEMPOTENT = route(false, false, false);
    private static final Route IDEMPOTENT = route(true, false, false);
    private static final Route RESUMABLE = route(false, true, true);
    private static final String BODY = "the same each time";

    private final DirectRoutingDriver mDriver = new DirectRoutingDriver(6);
    private long mLastCaller;

    private void arrive(Route route) {
        mDriver.arrive(++mLastCaller, route, Prompt.NONE, BODY);
    }

    private void failCall(Failure failure) {
        mDriver.step(new DirectEvent.Failed(mDriver.lastCall().call(), failure, "ended"));
    }

    private void finishCall(int status) {
        long call = mDriver.lastCall().call();
        mDriver.answer(call, status, GENUINE);
        mDriver.step(new DirectEvent.Finished(call));
    }

    private void crashThreeServers() {
        for (int i = 0; i < 3; i++) {
            arrive(NON_IDEMPOTENT);
            failCall(Failure.CONNECTION_LOST);
        }
    }

    // Guards against sending a crashing request to one more server each time it arrives.
    @Test
    void requestIsQuarantinedAfterThreeCrashes() {
        crashThreeServers();
        int calls = mDriver.callCount();
        arrive(NON_IDEMPOTENT);
        assertThat(mDriver.callCount()).isEqualTo(calls);
        AnswerError error = mDriver.last(AnswerError.class);
        assertThat(error.code()).isEqualTo(ResultCode.REQUEST_QUARANTINED);
        assertThat(error.code().isNotRun()).isTrue();
        assertThat(error.retryAfter()).isPositive();
        assertThat(mDriver.isIdle()).isTrue();
    }

    @Test
    void otherRequestsOfTheAccountAreServed() {
        crashThreeServers();
        mDriver.arrive(99, NON_IDEMPOTENT);
        finishCall(200);
        assertThat(mDriver.last(AnswerComplete.class).caller()).isEqualTo(99);
    }

    // Guards against retries that crash further servers after the request has crashed one.
    @Test
    void requestIsNotRetriedAfterASecondCrash() {
        arrive(IDEMPOTENT);
        failCall(Failure.CONNECTION_LOST);
        assertThat(mDriver.callCount()).isEqualTo(2);
        failCall(Failure.CONNECTION_LOST);
        assertThat(mDriver.callCount()).isEqualTo(2);
        arrive(IDEMPOTENT);
        failCall(Failure.CONNECTION_LOST);
        assertThat(mDriver.callCount()).isEqualTo(3);
        arrive(IDEMPOTENT);
        assertThat(mDriver.callCount()).isEqualTo(3);
    }

    @Test
    void streamIsNotResumedAfterASecondCrash() {
        arrive(RESUMABLE);
        mDriver.answer(mDriver.lastCall().call(), 200, GENUINE);
        failCall(Failure.CONNECTION_LOST);
        mDriver.answer(mDriver.lastCall().call(), 200, GENUINE);
        failCall(Failure.CONNECTION_LOST);
        assertThat(mDriver.callCount()).isEqualTo(2);
        assertThat(mDriver.last(AnswerError.class).code()).isEqualTo(ResultCode.ANSWER_CUT);
    }

    @Test
    void requestThatIsSometimesServedIsNeverQuarantined() {
        for (int i = 0; i < 20; i++) {
            arrive(NON_IDEMPOTENT);
            failCall(Failure.CONNECTION_LOST);
            arrive(NON_IDEMPOTENT);
            failCall(Failure.CONNECTION_LOST);
            mDriver.advance(Duration.ofSeconds(3));
            arrive(NON_IDEMPOTENT);
            finishCall(200);
        }
        assertThat(mDriver.all(AnswerError.class))
                .extracting(AnswerError::code)
                .containsOnly(ResultCode.BACKEND_FAILED);
    }

    // Guards against counting failed answers of a live server as crashes.
    @Test
    void errorAnswersAndAbandonedCallsAreNoCrashes() {
        for (int i = 0; i < 10; i++) {
            arrive(NON_IDEMPOTENT);
            finishCall(500);
            mDriver.advance(Duration.ofSeconds(3));
            arrive(NON_IDEMPOTENT);
            failCall(Failure.ABANDONED);
            mDriver.advance(Duration.ofSeconds(3));
        }
        assertThat(mDriver.mCrashes.isEmpty()).isTrue();
    }

    // Guards against a failed answer that clears the crashes of other servers.
    @Test
    void errorAnswersDoNotExcuseEarlierCrashes() {
        arrive(NON_IDEMPOTENT);
        failCall(Failure.CONNECTION_LOST);
        arrive(NON_IDEMPOTENT);
        failCall(Failure.CONNECTION_LOST);
        arrive(NON_IDEMPOTENT);
        finishCall(500);
        arrive(NON_IDEMPOTENT);
        mDriver.answer(mDriver.lastCall().call(), 503, NOT_RUN);
        failCall(Failure.CONNECTION_LOST);
        arrive(NON_IDEMPOTENT);
        assertThat(mDriver.last(AnswerError.class).code())
                .isEqualTo(ResultCode.REQUEST_QUARANTINED);
    }

    // Guards against log entries that do not tell a lost connection from an invalid answer.
    @Test
    void decisionLogDistinguishesLostConnectionsFromInvalidAnswers() {
        arrive(NON_IDEMPOTENT);
        failCall(Failure.CONNECTION_LOST);
        arrive(NON_IDEMPOTENT);
        mDriver.answer(mDriver.lastCall().call(), 200, INVALID);
        assertThat(mDriver.all(LogDecision.class))
                .extracting(d -> d.decision().reason())
                .filteredOn(reason -> reason.startsWith("outcome_unknown of "))
                .doesNotHaveDuplicates()
                .hasSize(2);
    }

    private static Prompt prompt(long... parts) {
        List<Prompt.Part> all =
                LongStream.of(parts).mapToObj(id -> new Prompt.Part(id, 10)).toList();
        return new Prompt(all, 10 * parts.length, 10);
    }

    // Guards against the refusal of a sound request whose method, path and body are those of a
    // crashing one with another prompt.
    @Test
    void requestWithAnotherPromptIsAnotherRequest() {
        for (int i = 0; i < 6; i++) {
            mDriver.arrive(++mLastCaller, NON_IDEMPOTENT, prompt(1, 2, 3), BODY);
            failCall(Failure.CONNECTION_LOST);
            mDriver.restart(mDriver.lastCall().backend().id());
        }
        mDriver.arrive(++mLastCaller, NON_IDEMPOTENT, prompt(1, 4, 5), BODY);
        finishCall(200);
        assertThat(mDriver.last(AnswerComplete.class).caller()).isEqualTo(mLastCaller);
        mDriver.arrive(++mLastCaller, NON_IDEMPOTENT, prompt(1, 2, 3), BODY);
        assertThat(mDriver.last(AnswerError.class).code())
                .isEqualTo(ResultCode.REQUEST_QUARANTINED);
    }

    // Guards against log entries that do not tell which part of prompts several crashes share.
    @Test
    void decisionLogNamesTheSharedPartsOfAnUnknownOutcome() {
        mDriver.arrive(++mLastCaller, NON_IDEMPOTENT, prompt(0xba5e, 0xbad, 1), BODY);
        failCall(Failure.CONNECTION_LOST);
        assertThat(mDriver.all(LogDecision.class))
                .extracting(d -> d.decision().reason())
                .anyMatch(reason -> reason.endsWith("; prompt parts ba5e,bad"));
    }

    // Guards against stalled calls without a log entry that identifies the request.
    @Test
    void decisionLogNamesTheRequestOfAStalledCall() {
        arrive(IDEMPOTENT);
        mDriver.advance(Duration.ofMillis(400));
        assertThat(mDriver.all(LogDecision.class))
                .extracting(d -> d.decision().reason())
                .anyMatch(reason -> reason.startsWith("stalled of "));
    }

    private void sendInvalidAnswer(long call) {
        mDriver.answer(call, 200, INVALID);
    }

    private void loseConnection(long call) {
        mDriver.step(new DirectEvent.Failed(call, Failure.CONNECTION_LOST, "ended"));
    }

    // Guards against closing the connection at an invalid head, which hides a following crash.
    @Test
    void connectionLostAfterAnInvalidHeadCountsAsACrash() {
        for (int i = 0; i < 3; i++) {
            arrive(NON_IDEMPOTENT);
            sendInvalidAnswer(mDriver.lastCall().call());
            mDriver.advance(Duration.ofMillis(200));
            loseConnection(mDriver.lastCall().call());
            mDriver.advance(Duration.ofSeconds(3));
        }
        int calls = mDriver.callCount();
        arrive(NON_IDEMPOTENT);
        assertThat(mDriver.callCount()).isEqualTo(calls);
        assertThat(mDriver.last(AnswerError.class).code())
                .isEqualTo(ResultCode.REQUEST_QUARANTINED);
    }

    // Guards against a third attempt while two servers with invalid answers may still crash.
    @Test
    void requestIsRetriedOnceWhileAnInvalidAnswerIsWatched() {
        arrive(IDEMPOTENT);
        long first = mDriver.lastCall().call();
        sendInvalidAnswer(first);
        assertThat(mDriver.callCount()).isEqualTo(2);
        sendInvalidAnswer(mDriver.lastCall().call());
        assertThat(mDriver.callCount()).isEqualTo(2);
        loseConnection(first);
        arrive(IDEMPOTENT);
        sendInvalidAnswer(mDriver.lastCall().call());
        assertThat(mDriver.callCount()).isEqualTo(3);
    }

    // Guards against counting a connection lost after the request was served by another server.
    @Test
    void lostConnectionAfterTheRequestWasServedElsewhereIsIgnored() {
        arrive(IDEMPOTENT);
        long first = mDriver.lastCall().call();
        sendInvalidAnswer(first);
        finishCall(200);
        assertThat(mDriver.last(CancelCall.class).call()).isEqualTo(first);
        loseConnection(first);
        assertThat(mDriver.mCrashes.isEmpty()).isTrue();
    }

    @Test
    void invalidAnswersOfLiveServersAreNoCrashes() {
        for (int i = 0; i < 10; i++) {
            arrive(IDEMPOTENT);
            long finished = mDriver.lastCall().call();
            sendInvalidAnswer(finished);
            mDriver.step(new DirectEvent.Finished(finished));
            loseConnection(finished);
            long silent = mDriver.lastCall().call();
            sendInvalidAnswer(silent);
            mDriver.advance(Duration.ofMillis(350));
            loseConnection(silent);
            assertThat(mDriver.all(CancelCall.class))
                    .extracting(CancelCall::call)
                    .contains(finished, silent);
            mDriver.advance(Duration.ofSeconds(3));
        }
        assertThat(mDriver.mCrashes.isEmpty()).isTrue();
    }

    // Guards against counting connections that live servers reset as crashes.
    @Test
    void connectionsResetByLiveServersAreExcused() {
        crashThreeServers();
        for (int i = 0; i < 30; i++) {
            mDriver.advance(Duration.ofMillis(20));
            mDriver.arrive(1000 + i, IDEMPOTENT);
            finishCall(200);
        }
        int calls = mDriver.callCount();
        arrive(NON_IDEMPOTENT);
        assertThat(mDriver.callCount()).isEqualTo(calls + 1);
    }
}
