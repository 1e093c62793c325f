package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laurelweir.direct.DirectRoutingDriver.route;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.laurelweir.answer.BodyFraming;
import org.laurelweir.answer.ServerNotice;
import org.laurelweir.direct.DirectEffect.CheckBackend;
import org.laurelweir.direct.DirectEffect.LogDecision;
import org.laurelweir.direct.DirectEvent.Reachability;
import org.laurelweir.lib.BackendRef;

/** Tests what is learnt from answers that end with their connection and may be complete. */
class UnconfirmedEndsTest {
    private static final Route PLAIN = route(false, false, false);
    private static final String BODY = "the same each time";
    private static final AnswerMetadata UNFRAMED =
            new AnswerMetadata(false, false, true, BodyFraming.CONNECTION, Optional.empty());

    private final DirectRoutingDriver mDriver = new DirectRoutingDriver(1);
    private long mLastCaller;

    private void answerUnframed() {
        answer(UNFRAMED);
    }

    private void answer(AnswerMetadata metadata) {
        mDriver.arrive(++mLastCaller, PLAIN, Prompt.NONE, BODY);
        long call = mDriver.lastCall().call();
        mDriver.answer(call, 200, metadata);
        mDriver.step(new DirectEvent.Finished(call));
    }

    private void waitForCheck() {
        mDriver.advance(Duration.ofMillis(300));
    }

    private void reportCheck(Reachability result) {
        long check = mDriver.last(CheckBackend.class).check();
        mDriver.step(new DirectEvent.BackendChecked(check, result));
    }

    private boolean isCrashRecorded() {
        return !mDriver.mCrashes.isEmpty();
    }

    @Test
    void serverThatRefusesConnectionsAfterItsAnswerHasCrashed() {
        answerUnframed();
        waitForCheck();
        reportCheck(Reachability.REFUSES);
        assertThat(isCrashRecorded()).isTrue();
        assertThat(mDriver.last(LogDecision.class).decision().reason())
                .startsWith("ended_with_answer of ");
    }

    // Guards against taking a cut network or a live server for a crash.
    @Test
    void serverThatAcceptsOrDoesNotReactHasNotCrashed() {
        for (Reachability result :
                new Reachability[] {Reachability.ACCEPTS, Reachability.UNKNOWN}) {
            answerUnframed();
            waitForCheck();
            reportCheck(result);
            assertThat(isCrashRecorded()).isFalse();
            mDriver.advance(Duration.ofSeconds(2));
        }
    }

    // Guards against a connection for each answer of a busy server.
    @Test
    void serverThatAnswersALaterRequestIsNotChecked() {
        answerUnframed();
        mDriver.advance(Duration.ofMillis(100));
        answer(DirectRoutingDriver.GENUINE);
        mDriver.advance(Duration.ofSeconds(2));
        assertThat(mDriver.all(CheckBackend.class)).isEmpty();
    }

    // Guards against an excuse for earlier crashes by an answer that may be cut.
    @Test
    void crashIsExcusedOnlyOnceTheServerShowsThatItLives() {
        mDriver.arrive(++mLastCaller, PLAIN, Prompt.NONE, BODY);
        long call = mDriver.lastCall().call();
        mDriver.step(new DirectEvent.Failed(call, DirectEvent.Failure.CONNECTION_LOST, "ended"));
        mDriver.restart("s0");
        mDriver.advance(Duration.ofSeconds(3));
        answerUnframed();
        assertThat(unexcusedCrashes()).isEqualTo(1);
        waitForCheck();
        reportCheck(Reachability.ACCEPTS);
        assertThat(unexcusedCrashes()).isZero();
    }

    private long unexcusedCrashes() {
        return mDriver.mCrashes.since(Instant.EPOCH, 0).records().stream()
                .flatMap(r -> r.crashes().stream())
                .filter(c -> !c.excused())
                .count();
    }

    // Guards against taking a planned stop for a crash.
    @Test
    void serverThatDrainsIsNotChecked() {
        answerUnframed();
        mDriver.drain("s0");
        waitForCheck();
        assertThat(mDriver.all(CheckBackend.class)).isEmpty();
        answerUnframedBeforeCheckAndDrain();
        assertThat(isCrashRecorded()).isFalse();
    }

    private void answerUnframedBeforeCheckAndDrain() {
        mDriver.join("s1");
        answerUnframed();
        waitForCheck();
        mDriver.drain("s1");
        reportCheck(Reachability.REFUSES);
    }

    // Guards against an invalid answer whose connection's end counts as a proof of life.
    @Test
    void serverThatCrashesWithAnInvalidAnswerIsChecked() {
        AnswerMetadata invalid =
                new AnswerMetadata(false, false, false, BodyFraming.CONNECTION, Optional.empty());
        answer(invalid);
        waitForCheck();
        reportCheck(Reachability.REFUSES);
        assertThat(isCrashRecorded()).isTrue();
    }

    /** Guards against a connection to a server that wants none of this router. */
    @Test
    void serverThatAskedForBackoffIsNotChecked() {
        answerUnframed();
        BackendRef server = mDriver.lastCall().backend();
        mDriver.step(
                new DirectEvent.ServerNoticed(
                        server, new ServerNotice(Duration.ofSeconds(3), false)));
        waitForCheck();
        mDriver.advance(Duration.ofSeconds(4));
        assertThat(mDriver.all(CheckBackend.class)).isEmpty();
        assertThat(isCrashRecorded()).isFalse();
        answerUnframed();
        waitForCheck();
        assertThat(mDriver.all(CheckBackend.class)).hasSize(1);
    }
}
