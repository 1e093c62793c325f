package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laurelweir.direct.DirectDriver.CROSSED;
import static org.laurelweir.direct.DirectDriver.GENUINE;
import static org.laurelweir.direct.DirectDriver.NOT_RUN;
import static org.laurelweir.direct.DirectDriver.route;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.laurelweir.direct.DirectEffect.AnswerError;
import org.laurelweir.direct.DirectEffect.AnswerWhole;
import org.laurelweir.direct.DirectEffect.CancelCall;
import org.laurelweir.direct.DirectEffect.LogDecision;
import org.laurelweir.direct.DirectEvent.Failure;
import org.laurelweir.lib.ResultCode;

/** How a router treats requests under which backend servers end. */
class CrashGuardTest {
    private static final Route UNSAFE = route(false, false, false);
    private static final Route SAFE = route(true, false, false);
    private static final Route RESUMABLE = route(false, true, true);
    private static final String BODY = "the same each time";

    private final DirectDriver mDriver = new DirectDriver(6);
    private long mCallers;

    private void arrive(Route route) {
        mDriver.arrive(++mCallers, route, Prompt.NONE, BODY);
    }

    private void fail(Failure failure) {
        mDriver.give(new DirectEvent.Failed(mDriver.call().call(), failure, "ended"));
    }

    private void finish(int status) {
        long call = mDriver.call().call();
        mDriver.answer(call, status, GENUINE);
        mDriver.give(new DirectEvent.Finished(call));
    }

    private void endThreeServers() {
        for (int i = 0; i < 3; i++) {
            arrive(UNSAFE);
            fail(Failure.CONNECTION_LOST);
        }
    }

    // Each arrival of a request that ends servers was sent to a further one.
    @Test
    void aRequestUnderWhichThreeServersEndedIsRefusedAtOnce() {
        endThreeServers();
        int calls = mDriver.calls();
        arrive(UNSAFE);
        assertThat(mDriver.calls()).isEqualTo(calls);
        AnswerError error = mDriver.last(AnswerError.class);
        assertThat(error.code()).isEqualTo(ResultCode.REQUEST_QUARANTINED);
        assertThat(error.code().isNotRun()).isTrue();
        assertThat(error.retryAfter()).isPositive();
        assertThat(mDriver.isIdle()).isTrue();
    }

    @Test
    void otherRequestsOfTheAccountAreServed() {
        endThreeServers();
        mDriver.arrive(99, UNSAFE);
        finish(200);
        assertThat(mDriver.last(AnswerWhole.class).caller()).isEqualTo(99);
    }

    // The second attempt of a request that had just ended a server ended another one.
    @Test
    void aRequestThatEndedAServerBeforeIsNotRepeatedWithinOneArrival() {
        arrive(SAFE);
        fail(Failure.CONNECTION_LOST);
        assertThat(mDriver.calls()).isEqualTo(2);
        fail(Failure.CONNECTION_LOST);
        assertThat(mDriver.calls()).isEqualTo(2);
        arrive(SAFE);
        fail(Failure.CONNECTION_LOST);
        assertThat(mDriver.calls()).isEqualTo(3);
        arrive(SAFE);
        assertThat(mDriver.calls()).isEqualTo(3);
    }

    @Test
    void aStreamThatEndedAServerBeforeIsNotResumedAtAnother() {
        arrive(RESUMABLE);
        mDriver.answer(mDriver.call().call(), 200, GENUINE);
        fail(Failure.CONNECTION_LOST);
        mDriver.answer(mDriver.call().call(), 200, GENUINE);
        fail(Failure.CONNECTION_LOST);
        assertThat(mDriver.calls()).isEqualTo(2);
        assertThat(mDriver.last(AnswerError.class).code()).isEqualTo(ResultCode.ANSWER_CUT);
    }

    @Test
    void aRequestThatIsServedNowAndThenIsNeverRefused() {
        for (int i = 0; i < 20; i++) {
            arrive(UNSAFE);
            fail(Failure.CONNECTION_LOST);
            arrive(UNSAFE);
            fail(Failure.CONNECTION_LOST);
            mDriver.pass(Duration.ofSeconds(3));
            arrive(UNSAFE);
            finish(200);
        }
        assertThat(mDriver.all(AnswerError.class))
                .extracting(AnswerError::code)
                .containsOnly(ResultCode.BACKEND_FAILED);
    }

    // A server that answers each time with a failure, or with garbage, was taken for one that ends.
    @Test
    void aFailureThatAServerTellsIsNoEnd() {
        for (int i = 0; i < 10; i++) {
            arrive(UNSAFE);
            finish(500);
            mDriver.pass(Duration.ofSeconds(3));
            arrive(UNSAFE);
            fail(Failure.ABANDONED);
            mDriver.pass(Duration.ofSeconds(3));
        }
        assertThat(mDriver.mCrashes.isEmpty()).isTrue();
    }

    // A failure that a server told cleared what other servers' ends had shown.
    @Test
    void aFailureThatAServerTellsIsNoExcuse() {
        arrive(UNSAFE);
        fail(Failure.CONNECTION_LOST);
        arrive(UNSAFE);
        fail(Failure.CONNECTION_LOST);
        arrive(UNSAFE);
        finish(500);
        arrive(UNSAFE);
        mDriver.answer(mDriver.call().call(), 503, NOT_RUN);
        fail(Failure.CONNECTION_LOST);
        arrive(UNSAFE);
        assertThat(mDriver.last(AnswerError.class).code())
                .isEqualTo(ResultCode.REQUEST_QUARANTINED);
    }

    // The log had the same words for a server that ended and for an answer that can't be taken.
    @Test
    void theLogTellsAnEndFromAnAnswerThatCantBeTaken() {
        arrive(UNSAFE);
        fail(Failure.CONNECTION_LOST);
        arrive(UNSAFE);
        mDriver.answer(mDriver.call().call(), 200, CROSSED);
        assertThat(mDriver.all(LogDecision.class))
                .extracting(d -> d.decision().reason())
                .filteredOn(reason -> reason.startsWith("outcome_unknown of "))
                .doesNotHaveDuplicates()
                .hasSize(2);
    }

    // A server that was silent for too long left no line by which its request can be found again.
    @Test
    void theLogNamesTheRequestOfASilentServer() {
        arrive(SAFE);
        mDriver.pass(Duration.ofMillis(400));
        assertThat(mDriver.all(LogDecision.class))
                .extracting(d -> d.decision().reason())
                .anyMatch(reason -> reason.startsWith("stalled of "));
    }

    private void spoil(long call) {
        mDriver.answer(call, 200, CROSSED);
    }

    private void lose(long call) {
        mDriver.give(new DirectEvent.Failed(call, Failure.CONNECTION_LOST, "ended"));
    }

    // The router closed the connection at the head, and never saw the end that followed.
    @Test
    void aServerThatEndsAfterABadHeadIsAnEnd() {
        for (int i = 0; i < 3; i++) {
            arrive(UNSAFE);
            spoil(mDriver.call().call());
            mDriver.pass(Duration.ofMillis(200));
            lose(mDriver.call().call());
            mDriver.pass(Duration.ofSeconds(3));
        }
        int calls = mDriver.calls();
        arrive(UNSAFE);
        assertThat(mDriver.calls()).isEqualTo(calls);
        assertThat(mDriver.last(AnswerError.class).code())
                .isEqualTo(ResultCode.REQUEST_QUARANTINED);
    }

    // A request that had ended two servers after bad heads was sent to a third one at once.
    @Test
    void onlyOneMoreServerGetsARequestBeforeItShowsWhetherTheFirstEnds() {
        arrive(SAFE);
        long first = mDriver.call().call();
        spoil(first);
        assertThat(mDriver.calls()).isEqualTo(2);
        spoil(mDriver.call().call());
        assertThat(mDriver.calls()).isEqualTo(2);
        lose(first);
        arrive(SAFE);
        spoil(mDriver.call().call());
        assertThat(mDriver.calls()).isEqualTo(3);
    }

    // An end that came after the request had been served elsewhere was held against it for good.
    @Test
    void anEndAfterTheRequestWasServedElsewhereIsNotHeldAgainstIt() {
        arrive(SAFE);
        long first = mDriver.call().call();
        spoil(first);
        finish(200);
        assertThat(mDriver.last(CancelCall.class).call()).isEqualTo(first);
        lose(first);
        assertThat(mDriver.mCrashes.isEmpty()).isTrue();
    }

    @Test
    void aServerThatSpoilsItsAnswerAndLivesIsNoEnd() {
        for (int i = 0; i < 10; i++) {
            arrive(SAFE);
            long whole = mDriver.call().call();
            spoil(whole);
            mDriver.give(new DirectEvent.Finished(whole));
            lose(whole);
            long silent = mDriver.call().call();
            spoil(silent);
            mDriver.pass(Duration.ofMillis(350));
            lose(silent);
            assertThat(mDriver.all(CancelCall.class))
                    .extracting(CancelCall::call)
                    .contains(whole, silent);
            mDriver.pass(Duration.ofSeconds(3));
        }
        assertThat(mDriver.mCrashes.isEmpty()).isTrue();
    }

    // Connections that live servers reset made a request look as if it had ended them.
    @Test
    void connectionsThatLiveServersResetAreExcused() {
        endThreeServers();
        for (int i = 0; i < 30; i++) {
            mDriver.pass(Duration.ofMillis(20));
            mDriver.arrive(1000 + i, SAFE);
            finish(200);
        }
        int calls = mDriver.calls();
        arrive(UNSAFE);
        assertThat(mDriver.calls()).isEqualTo(calls + 1);
    }
}
