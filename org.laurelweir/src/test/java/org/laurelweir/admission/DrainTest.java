package org.laurelweir.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.laurelweir.attempt.Frame;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.membership.Backend;

/** Drains by an operator's order and by a stop of the process. */
class DrainTest {
    private static final AttemptId ID = Requests.id(1);

    private final SidecarDriver mSidecar = new SidecarDriver();

    // Routers learn of a drain with a delay of seconds, so new requests still arrive after it has
    // begun. Each is refused at once as not run, with a redirect target. Running attempts complete.
    @Test
    void drainRefusesNewAttemptsAndCompletesRunningOnes() {
        long running = mSidecar.requestAttempt(Requests.request(1));
        mSidecar.exchange(SidecarDriver.members(3), 0, true, 0);

        Frame.Refused refused =
                (Frame.Refused)
                        mSidecar.takeLastFrame(mSidecar.requestAttempt(Requests.request(2)));
        assertThat(refused.code()).isEqualTo(ResultCode.DRAINING);
        assertThat(refused.redirectTo()).isIn("engine-2", "engine-3");
        mSidecar.answerAttempt(ID, new byte[3]);
        assertThat(mSidecar.takeLastFrame(running)).isInstanceOf(Frame.End.class);
    }

    @Test
    void drainIsAnnouncedAtOnceAndUndoneInANewSession() {
        mSidecar.exchange(SidecarDriver.members(3), 0, false, 0);
        mSidecar.take(SidecarEffect.SendExchange.class);
        mSidecar.exchange(SidecarDriver.members(3), 0, true, 0);
        Backend draining = lastAnnounced();
        assertThat(draining.state()).isEqualTo(Backend.State.DRAINING);
        mSidecar.exchange(SidecarDriver.members(3), 0, false, 0);
        Backend serving = lastAnnounced();
        assertThat(serving.state()).isEqualTo(Backend.State.SERVING);
        assertThat(serving.supersedes(draining)).isTrue();
    }

    // An operator drains the server. The next exchange reaches a control instance that is cut off
    // from the others and does not know of the drain. The drain must stay in force.
    @Test
    void unconfirmedExchangeDoesNotUndoADrain() {
        mSidecar.exchange(SidecarDriver.members(3), 0, true, 0);
        mSidecar.exchange(SidecarDriver.members(3), 0, false, false, 0);
        mSidecar.requestAttempt(Requests.request(2));
        assertThat(mSidecar.take(SidecarEffect.StartEngineCall.class)).isEmpty();
    }

    private Backend lastAnnounced() {
        return mSidecar.take(SidecarEffect.SendExchange.class).get(0).report().backend();
    }

    // A request waits for room when the drain begins. It has not run, so the next server in rank
    // can take it. Holding it until there is room would only delay its caller.
    @Test
    void drainRefusesWaitingAttempts() {
        mSidecar.requestAttempt(Requests.request(1).cost(Requests.outputCost(9_000)));
        long waiting = mSidecar.requestAttempt(Requests.request(2).cost(Requests.outputCost(100)));
        assertThat(mSidecar.takeLastFrame(waiting)).isInstanceOf(Frame.Accepted.class);
        mSidecar.exchange(SidecarDriver.members(3), 0, true, 0);
        Frame.Refused refused = (Frame.Refused) mSidecar.takeLastFrame(waiting);
        assertThat(refused.code()).isEqualTo(ResultCode.DRAINING);
    }

    // SIGTERM arrives while an answer is half sent. The process may exit only after the final frame
    // was sent, and control gets the state LEFT only then.
    @Test
    void stopWaitsForRunningAttempts() {
        mSidecar.requestAttempt(Requests.request(1));
        mSidecar.take(SidecarEffect.SendExchange.class);
        mSidecar.step(new SidecarEvent.StopRequested());
        assertThat(lastAnnounced().state()).isEqualTo(Backend.State.DRAINING);
        mSidecar.advance(Duration.ofSeconds(5));
        assertThat(mSidecar.take(SidecarEffect.Stopped.class)).isEmpty();

        mSidecar.answerAttempt(ID, new byte[3]);
        assertThat(lastAnnounced().state()).isEqualTo(Backend.State.LEFT);
        mSidecar.advance(Duration.ofSeconds(5));
        assertThat(mSidecar.take(SidecarEffect.SendExchange.class)).isEmpty();
    }

    // The stream of a running attempt is lost just before the stop. Its router will resume over a
    // new connection, so the process stays until the final frame is sent, or until the output is no
    // longer kept.
    @Test
    void stopWaitsUntilTheFinalFrameIsSent() {
        long lost =
                mSidecar.requestAttempt(
                        Requests.nonIdempotentRequest(1, "k", Duration.ofMinutes(5)));
        mSidecar.step(new SidecarEvent.StreamClosed(lost));
        mSidecar.step(new SidecarEvent.StopRequested());
        mSidecar.answerAttempt(ID, new byte[3]);
        assertThat(mSidecar.take(SidecarEffect.Stopped.class)).isEmpty();

        mSidecar.resume(ID, 0);
        assertThat(mSidecar.take(SidecarEffect.Stopped.class)).hasSize(1);
    }

    // The engine hangs. After the drain timeout the router gets the result that the outcome is
    // unknown, and the process stops.
    @Test
    void stopAbortsRunningAttemptsAfterTheDrainTimeout() {
        long stream = mSidecar.requestAttempt(Requests.request(1).timeLeft(Duration.ofHours(1)));
        mSidecar.step(new SidecarEvent.StopRequested());
        mSidecar.advance(SidecarSettings.DEFAULT.drainTimeout());
        List<SidecarEffect> effects = mSidecar.take(SidecarEffect.class);
        assertThat(effects).anyMatch(e -> e instanceof SidecarEffect.Stopped);
        assertThat(effects)
                .anyMatch(
                        e ->
                                e instanceof SidecarEffect.SendFrame f
                                        && f.stream() == stream
                                        && f.frame().frame() instanceof Frame.Failed);
    }

    // A draining server knows the locations of chats whose home it was. It sends them to the next
    // homes, so that the chats keep their cached histories.
    @Test
    void drainHandsOverTheChatDirectory() {
        mSidecar.exchange(SidecarDriver.members(3), 0, false, 0);
        mSidecar.step(new SidecarEvent.ChatsHandedOver("engine-3", Map.of(77L, "engine-3")));
        mSidecar.exchange(SidecarDriver.members(3), 0, true, 0);
        List<SidecarEffect.HandOverChats> sent = mSidecar.take(SidecarEffect.HandOverChats.class);
        // No entry is sent if the chat's next home is the server that the entry names.
        assertThat(sent).allMatch(h -> h.locations().equals(Map.of(77L, "engine-3")));
        assertThat(sent.size()).isLessThanOrEqualTo(1);
    }
}
