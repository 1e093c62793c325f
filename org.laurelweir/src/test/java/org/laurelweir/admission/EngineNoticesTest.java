package org.laurelweir.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.laurelweir.answer.ServerNotice;
import org.laurelweir.attempt.Frame;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.membership.Backend;

/** Tests that a sidecar obeys a backend server that asks for backoff or says that it leaves. */
class EngineNoticesTest {
    private static final Duration BACKOFF = Duration.ofSeconds(3);

    private final SidecarDriver mSidecar = new SidecarDriver();

    @BeforeEach
    void serve() {
        mSidecar.exchange(SidecarDriver.members(1), 0, false, 0);
    }

    private void askForBackoff(Duration backoff) {
        mSidecar.step(new SidecarEvent.EngineNoticed(new ServerNotice(backoff, false)));
    }

    private void sayLeaving() {
        mSidecar.step(new SidecarEvent.EngineNoticed(new ServerNotice(Duration.ZERO, true)));
    }

    private void setReachable(boolean reachable) {
        mSidecar.step(new SidecarEvent.EngineReachabilityChanged(reachable));
    }

    private Frame.Refused refusal(int attempt) {
        long stream = mSidecar.requestAttempt(Requests.request(attempt));
        return (Frame.Refused) mSidecar.takeLastFrame(stream);
    }

    private boolean isStarted(int attempt) {
        mSidecar.take(SidecarEffect.class);
        mSidecar.requestAttempt(Requests.request(attempt));
        return !mSidecar.take(SidecarEffect.StartEngineCall.class).isEmpty();
    }

    /** Guards against attempts that reach an engine within the backoff that it asked for. */
    @Test
    void engineInBackoffGetsNoAttempt() {
        askForBackoff(BACKOFF);
        mSidecar.advance(BACKOFF.minusMillis(1));
        assertThat(isStarted(1)).isFalse();
        mSidecar.advance(Duration.ofMillis(1));
        assertThat(isStarted(2)).isTrue();
    }

    /** Guards against a caller that is told to return within the backoff. */
    @Test
    void refusalNamesTheEndOfTheBackoff() {
        askForBackoff(BACKOFF);
        Frame.Refused refused = refusal(1);
        assertThat(refused.code()).isEqualTo(ResultCode.OVERLOADED);
        assertThat(refused.retryAfter()).isGreaterThanOrEqualTo(BACKOFF);
    }

    /** Guards against an attempt that waits at the sidecar and starts within the backoff. */
    @Test
    void waitingAttemptIsRefusedWhenTheEngineAsksForBackoff() {
        mSidecar.requestAttempt(Requests.request(1).cost(Requests.outputCost(9_000)));
        long waiting = mSidecar.requestAttempt(Requests.request(2).cost(Requests.outputCost(100)));
        assertThat(mSidecar.takeLastFrame(waiting)).isInstanceOf(Frame.Accepted.class);
        askForBackoff(BACKOFF);
        assertThat(mSidecar.takeLastFrame(waiting)).isInstanceOf(Frame.Refused.class);
        mSidecar.answerAttempt(Requests.id(1), new byte[3]);
        assertThat(mSidecar.take(SidecarEffect.StartEngineCall.class)).isEmpty();
    }

    /** Guards against chats that move to other servers and back for a short backoff. */
    @Test
    void backoffIsNotAnnouncedAsADrain() {
        mSidecar.take(SidecarEffect.class);
        askForBackoff(BACKOFF);
        mSidecar.advance(Duration.ofSeconds(2));
        assertThat(states()).isNotEmpty().containsOnly(Backend.State.SERVING);
    }

    /** Guards against new work at an engine that is about to stop, of which control is not told. */
    @Test
    void leavingEngineIsDrained() {
        mSidecar.take(SidecarEffect.class);
        sayLeaving();
        assertThat(states()).containsExactly(Backend.State.DRAINING);
        assertThat(refusal(1).code()).isEqualTo(ResultCode.DRAINING);
        mSidecar.exchange(SidecarDriver.members(1), 0, false, 0);
        assertThat(refusal(2).code()).isEqualTo(ResultCode.DRAINING);
    }

    /** Guards against a word that outlives the engine that said it. */
    @Test
    void engineStartedAnewGetsAttempts() {
        sayLeaving();
        askForBackoff(Duration.ofMinutes(5));
        setReachable(false);
        setReachable(true);
        assertThat(isStarted(1)).isTrue();
    }

    /** Guards against an engine that is out of use for good since its restart was not noticed. */
    @Test
    void engineThatIsStillThereLongAfterItSaidItLeavesGetsAttempts() {
        sayLeaving();
        mSidecar.advance(EngineNotices.MAX_LEAVING_TIME.minusSeconds(1));
        assertThat(isStarted(1)).isFalse();
        mSidecar.advance(Duration.ofSeconds(1));
        assertThat(isStarted(2)).isTrue();
    }

    private List<Backend.State> states() {
        return mSidecar.take(SidecarEffect.SendExchange.class).stream()
                .map(e -> e.report().backend().state())
                .toList();
    }
}
