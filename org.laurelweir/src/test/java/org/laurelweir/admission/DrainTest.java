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

/** Leaving by an operator's wish and by a stop of the process. */
class DrainTest {
    private static final AttemptId ID = Requests.id(1);

    private final SidecarDriver mSidecar = new SidecarDriver();

    // Routers' views lag by seconds, so that new requests still arrive after a drain has begun.
    // Each is refused at once as not run and told where to go; what runs goes on to its end.
    @Test
    void drainRefusesNewAttemptsAndCompletesRunningOnes() {
        long running = mSidecar.begin(Requests.request(1));
        mSidecar.exchange(SidecarDriver.members(3), 0, true, 0);

        Frame.Refused refused =
                (Frame.Refused) mSidecar.takeLastFrame(mSidecar.begin(Requests.request(2)));
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
    // from the others and has not heard of it: the drain must hold all the same.
    @Test
    void unconfirmedExchangeDoesNotUndoADrain() {
        mSidecar.exchange(SidecarDriver.members(3), 0, true, 0);
        mSidecar.exchange(SidecarDriver.members(3), 0, false, false, 0);
        mSidecar.begin(Requests.request(2));
        assertThat(mSidecar.take(SidecarEffect.StartEngineCall.class)).isEmpty();
    }

    private Backend lastAnnounced() {
        return mSidecar.take(SidecarEffect.SendExchange.class).get(0).report().backend();
    }

    // Two requests wait for room when the drain begins. They have not been run, so that the
    // next in rank can take them: holding them until there is room would only delay their callers.
    @Test
    void drainRefusesWaitingAttempts() {
        mSidecar.begin(Requests.request(1).cost(Requests.outputCost(9_000)));
        long waiting = mSidecar.begin(Requests.request(2).cost(Requests.outputCost(100)));
        assertThat(mSidecar.takeLastFrame(waiting)).isInstanceOf(Frame.Accepted.class);
        mSidecar.exchange(SidecarDriver.members(3), 0, true, 0);
        Frame.Refused refused = (Frame.Refused) mSidecar.takeLastFrame(waiting);
        assertThat(refused.code()).isEqualTo(ResultCode.DRAINING);
    }

    // SIGTERM comes while an answer is half sent. The process may exit only after the ending went
    // out; control hears LEFT then and not before.
    @Test
    void stopWaitsForRunningAttempts() {
        mSidecar.begin(Requests.request(1));
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

    // The stream of a running attempt is lost just before the stop. Its router will ask for the
    // rest over a new connection, so the process stays for as long as output is kept.
    @Test
    void stopWaitsUntilTheFinalFrameIsSent() {
        long lost = mSidecar.begin(Requests.nonIdempotentRequest(1, "k", Duration.ofMinutes(5)));
        mSidecar.step(new SidecarEvent.StreamClosed(lost));
        mSidecar.step(new SidecarEvent.StopRequested());
        mSidecar.answerAttempt(ID, new byte[3]);
        assertThat(mSidecar.take(SidecarEffect.Stopped.class)).isEmpty();

        mSidecar.resume(ID, 0);
        assertThat(mSidecar.take(SidecarEffect.Stopped.class)).hasSize(1);
    }

    // The engine hangs. After the drain's timeout the router is told that the outcome is unknown,
    // and the process ends.
    @Test
    void stopAbortsRunningAttemptsAfterTheDrainTimeout() {
        long stream = mSidecar.begin(Requests.request(1).timeLeft(Duration.ofHours(1)));
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

    // A server that leaves knows where chats sit whose home it was. Handed to those that become
    // their homes, the entries keep the chats with their cached histories.
    @Test
    void drainHandsOverTheChatDirectory() {
        mSidecar.exchange(SidecarDriver.members(3), 0, false, 0);
        mSidecar.step(new SidecarEvent.ChatsHandedOver("engine-3", Map.of(77L, "engine-3")));
        mSidecar.exchange(SidecarDriver.members(3), 0, true, 0);
        List<SidecarEffect.HandOverChats> sent = mSidecar.take(SidecarEffect.HandOverChats.class);
        // Nothing is sent where the chat's next home is the very server that it sits on.
        assertThat(sent).allMatch(h -> h.locations().equals(Map.of(77L, "engine-3")));
        assertThat(sent.size()).isLessThanOrEqualTo(1);
    }
}
