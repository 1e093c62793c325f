package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laurelweir.direct.DirectRoutingDriver.GENUINE;
import static org.laurelweir.direct.DirectRoutingDriver.SERVICE;
import static org.laurelweir.direct.DirectRoutingDriver.route;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.laurelweir.direct.DirectEffect.AnswerError;
import org.laurelweir.direct.DirectEffect.FindStream;
import org.laurelweir.direct.DirectEvent.Failure;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.resumption.OriginAnswer;
import org.laurelweir.resumption.StreamOrigin;

/** Tests streams whose server may have started anew under its name with another version. */
class DoubtfulRunTest {
    private static final Route RESUMABLE = route(false, true, true);
    private static final Duration LONGEST_DELAY = Duration.ofSeconds(3);

    private final DirectRoutingDriver mDriver = new DirectRoutingDriver(0);

    @BeforeEach
    void addServerThatTellsItsStart() {
        mDriver.joinVersion("a", "v1");
        mDriver.restart("a", "v1");
    }

    private void breakOff(Failure failure) {
        mDriver.arrive(1, RESUMABLE);
        long call = mDriver.lastCall().call();
        if (failure.isPossiblySent()) {
            mDriver.answer(call, 200, GENUINE);
        }
        mDriver.step(new DirectEvent.Failed(call, failure, "lost"));
        mDriver.mEffects.clear();
    }

    private void takeUp(long caller) {
        mDriver.resume(caller, RESUMABLE, new Resumption("id0", "1"));
        StreamOrigin origin = new StreamOrigin(SERVICE, "v1");
        mDriver.step(
                new DirectEvent.StreamFound(
                        mDriver.last(FindStream.class).lookup(),
                        new OriginAnswer(Optional.of(origin), Optional.empty(), 3, 3)));
    }

    /** Guards against joining the text of two versions while the announcement of one is late. */
    @Test
    void streamDoesNotGoOnAtAServerThatMayHaveStartedAnew() {
        breakOff(Failure.CONNECTION_LOST);
        takeUp(2);
        assertThat(mDriver.callCount()).isZero();
        assertThat(mDriver.last(AnswerError.class).code()).isEqualTo(ResultCode.OVERLOADED);
    }

    /** Guards against the same after the server was seen to be down. */
    @Test
    void streamDoesNotGoOnAtAServerThatAcceptedNoConnection() {
        breakOff(Failure.NOT_SENT);
        takeUp(2);
        assertThat(mDriver.callCount()).isZero();
    }

    @Test
    void streamGoesOnAtAnotherServerOfItsVersion() {
        breakOff(Failure.CONNECTION_LOST);
        mDriver.joinVersion("b", "v1");
        takeUp(2);
        assertThat(mDriver.lastCall().backend().id()).isEqualTo("b");
    }

    /** Guards against streams that never go on, since a connection was lost without a crash. */
    @Test
    void doubtEndsWithTheTimeThatAnAnnouncementMayTake() {
        breakOff(Failure.CONNECTION_LOST);
        mDriver.advance(LONGEST_DELAY);
        takeUp(2);
        assertThat(mDriver.callCount()).isEqualTo(1);
    }

    @Test
    void doubtEndsWithTheAnnouncementOfALaterRun() {
        breakOff(Failure.CONNECTION_LOST);
        mDriver.restart("a", "v1");
        takeUp(2);
        assertThat(mDriver.callCount()).isEqualTo(1);
    }

    @Test
    void requestsWithoutAVersionAreServedMeanwhile() {
        breakOff(Failure.CONNECTION_LOST);
        mDriver.arrive(2, RESUMABLE);
        assertThat(mDriver.callCount()).isEqualTo(1);
    }

    /** Guards against streams that don't go on at a server which only broke off one of them. */
    @Test
    void doubtEndsWhenAnEarlierCallGoesOn() {
        mDriver.arrive(3, RESUMABLE);
        long earlier = mDriver.lastCall().call();
        mDriver.advance(Duration.ofMillis(50));
        breakOff(Failure.CONNECTION_LOST);
        mDriver.answer(earlier, 200, GENUINE);
        takeUp(2);
        assertThat(mDriver.callCount()).isEqualTo(1);
    }

    /** Guards against taking the answer of a later run for a sign that the earlier one lives. */
    @Test
    void doubtStaysWhenALaterCallIsAnswered() {
        breakOff(Failure.CONNECTION_LOST);
        mDriver.advance(Duration.ofMillis(50));
        mDriver.arrive(3, RESUMABLE);
        mDriver.answer(mDriver.lastCall().call(), 200, GENUINE);
        mDriver.mEffects.clear();
        takeUp(2);
        assertThat(mDriver.callCount()).isZero();
    }
}
