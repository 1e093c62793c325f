package org.laurelweir.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.laurelweir.attempt.Frame;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.ResultCode;

/** How long output is kept, and when an attempt that no stream follows is cancelled. */
class AttemptOutputTest {
    private static final AttemptId ID = Requests.id(1);
    private static final Duration KEEP_TIME = SidecarSettings.DEFAULT.output().keepTime();

    private final SidecarDriver mSidecar = new SidecarDriver();

    // The router reads more slowly than the engine sends. To drop no output and still bound its
    // memory, the sidecar stops reading from the engine until the router has acknowledged enough.
    @Test
    void engineIsNotReadWhileTooMuchOutputIsUnacknowledged() {
        mSidecar.requestAttempt(Requests.request(1));
        mSidecar.step(new SidecarEvent.EngineHeadReceived(ID, 200, List.of()));
        byte[] half = new byte[1 << 19];
        mSidecar.step(new SidecarEvent.EngineDataReceived(ID, half));
        assertThat(mSidecar.take(SidecarEffect.SetEngineCallReading.class)).isEmpty();
        mSidecar.step(new SidecarEvent.EngineDataReceived(ID, half));
        assertThat(mSidecar.take(SidecarEffect.SetEngineCallReading.class))
                .containsExactly(new SidecarEffect.SetEngineCallReading(ID, false));

        mSidecar.step(new SidecarEvent.OutputAcknowledged(ID, 1 << 19));
        assertThat(mSidecar.take(SidecarEffect.SetEngineCallReading.class))
                .containsExactly(new SidecarEffect.SetEngineCallReading(ID, true));
    }

    // The router's connection breaks silently after it has acknowledged 10 bytes, which are
    // dropped. A resume from an offset below that fails; the sidecar must not send a shortened
    // answer.
    @Test
    void resumeBelowDroppedOutputFails() {
        mSidecar.requestAttempt(Requests.request(1));
        mSidecar.step(new SidecarEvent.EngineHeadReceived(ID, 200, List.of()));
        mSidecar.step(new SidecarEvent.EngineDataReceived(ID, new byte[10]));
        mSidecar.step(new SidecarEvent.OutputAcknowledged(ID, 10));

        Frame.Failed notKept = (Frame.Failed) mSidecar.takeLastFrame(mSidecar.resume(ID, 5));
        assertThat(notKept.code()).isEqualTo(ResultCode.OUTPUT_NOT_KEPT);
        assertThat(mSidecar.takeFrames(mSidecar.resume(ID, 10))).isEmpty();
    }

    // The router has acknowledged half of a piece when its connection breaks silently. The other
    // half is still there for the next connection.
    @Test
    void outputIsKeptUntilItIsAcknowledged() {
        mSidecar.requestAttempt(Requests.request(1));
        mSidecar.step(new SidecarEvent.EngineHeadReceived(ID, 200, List.of()));
        mSidecar.step(new SidecarEvent.EngineDataReceived(ID, new byte[] {1, 2, 3, 4}));
        mSidecar.step(new SidecarEvent.OutputAcknowledged(ID, 2));

        Frame.Data rest = (Frame.Data) mSidecar.takeLastFrame(mSidecar.resume(ID, 2));
        assertThat(rest.offset()).isEqualTo(2);
        assertThat(rest.bytes()).containsExactly(3, 4);
    }

    // An acknowledgement beyond the end of the output belongs to another attempt or is corrupt. It
    // must not drop output of this attempt.
    @Test
    void acknowledgementBeyondTheEndIsIgnored() {
        mSidecar.requestAttempt(Requests.request(1));
        mSidecar.step(new SidecarEvent.EngineHeadReceived(ID, 200, List.of()));
        mSidecar.step(new SidecarEvent.EngineDataReceived(ID, new byte[10]));
        mSidecar.step(new SidecarEvent.OutputAcknowledged(ID, 11));
        assertThat(mSidecar.takeLastFrame(mSidecar.resume(ID, 0))).isInstanceOf(Frame.Data.class);
    }

    // The request for an attempt arrives late, from a connection that its router has given up after
    // it resumed the attempt over a new one. The new connection keeps the attempt.
    @Test
    void lateRequestDoesNotReplaceAResumedStream() {
        mSidecar.requestAttempt(Requests.request(1));
        long resumed = mSidecar.resume(ID, 0);
        long late = mSidecar.requestAttempt(Requests.request(1));
        mSidecar.step(new SidecarEvent.EngineHeadReceived(ID, 200, List.of()));
        List<SidecarEffect> effects = mSidecar.take(SidecarEffect.class);
        assertThat(effects)
                .contains(new SidecarEffect.CloseStream(late))
                .doesNotContain(new SidecarEffect.CloseStream(resumed))
                .anyMatch(e -> e instanceof SidecarEffect.SendFrame f && f.stream() == resumed);
    }

    // Kept answers fill the buffer while another answer is being received. The oldest delivered
    // answer is dropped. An older answer that no router has read yet stays.
    @Test
    void fullBufferDropsDeliveredAnswersFirst() {
        long limit = SidecarSettings.DEFAULT.output().totalBytes();
        AttemptId delivered = Requests.id(2);
        AttemptId next = Requests.id(3);
        long lost =
                mSidecar.requestAttempt(Requests.nonIdempotentRequest(1, "a", Duration.ofHours(1)));
        mSidecar.step(new SidecarEvent.StreamClosed(lost));
        mSidecar.answerAttempt(ID, new byte[3]);
        mSidecar.requestAttempt(Requests.nonIdempotentRequest(2, "b", Duration.ofHours(1)));
        mSidecar.answerAttempt(delivered, new byte[(int) limit - (1 << 19)]);
        mSidecar.requestAttempt(Requests.request(3));
        mSidecar.step(new SidecarEvent.EngineHeadReceived(next, 200, List.of()));
        mSidecar.step(new SidecarEvent.EngineDataReceived(next, new byte[1 << 19]));

        assertThat(mSidecar.take(SidecarEffect.SetEngineCallReading.class))
                .doesNotContain(new SidecarEffect.SetEngineCallReading(next, false));
        Frame.Failed notKept = (Frame.Failed) mSidecar.takeLastFrame(mSidecar.resume(delivered, 0));
        assertThat(notKept.code()).isEqualTo(ResultCode.OUTPUT_NOT_KEPT);
        assertThat(mSidecar.takeLastFrame(mSidecar.resume(ID, 0))).isInstanceOf(Frame.End.class);
    }

    // A router is lost, and its caller resends a request that may run only once, with its
    // idempotency key. The complete first answer is still there, although the first router had
    // acknowledged all of it.
    @Test
    void acknowledgedAnswerWithAKeyIsKeptForAResend() {
        mSidecar.requestAttempt(Requests.nonIdempotentRequest(1, "order-7", Duration.ofMinutes(5)));
        mSidecar.step(new SidecarEvent.EngineHeadReceived(ID, 201, List.of()));
        mSidecar.step(new SidecarEvent.EngineDataReceived(ID, new byte[10]));
        mSidecar.step(new SidecarEvent.OutputAcknowledged(ID, 10));
        mSidecar.step(new SidecarEvent.EngineFinished(ID, Frame.Usage.NONE));
        mSidecar.advance(Duration.ofMinutes(4));

        List<Frame> frames = mSidecar.takeFrames(mSidecar.resume(ID, 0));
        assertThat(frames).hasSize(3);
        assertThat(((Frame.End) frames.get(2)).length()).isEqualTo(10);
    }

    // A router is lost and no router resumes its attempts. The idempotent attempt is cancelled,
    // since nobody can get its answer. The attempt that may run only once runs on, since a resend
    // will ask for it.
    @Test
    void unfollowedAttemptIsCancelledUnlessAResendCanFindIt() {
        AttemptId order = Requests.id(2);
        long first = mSidecar.requestAttempt(Requests.request(1));
        long second =
                mSidecar.requestAttempt(
                        Requests.nonIdempotentRequest(2, "order-7", Duration.ofMinutes(5)));
        mSidecar.step(new SidecarEvent.StreamClosed(first));
        mSidecar.step(new SidecarEvent.StreamClosed(second));
        mSidecar.take(SidecarEffect.CancelEngineCall.class);

        mSidecar.advance(KEEP_TIME);
        assertThat(mSidecar.take(SidecarEffect.CancelEngineCall.class))
                .containsExactly(new SidecarEffect.CancelEngineCall(ID));
        mSidecar.answerAttempt(order, new byte[3]);
        assertThat(mSidecar.takeLastFrame(mSidecar.resume(order, 0))).isInstanceOf(Frame.End.class);
    }

    @Test
    void progressFrameIsSentAfterTheInterval() {
        long stream = mSidecar.requestAttempt(Requests.request(1));
        mSidecar.takeFrames(stream);
        mSidecar.advance(Duration.ofMillis(500));
        assertThat(mSidecar.takeFrames(stream)).containsExactly(new Frame.Progress(0));
    }
}
