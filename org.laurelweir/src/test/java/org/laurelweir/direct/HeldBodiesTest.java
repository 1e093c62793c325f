package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laurelweir.direct.DirectRoutingDriver.GENUINE;
import static org.laurelweir.direct.DirectRoutingDriver.INVALID;
import static org.laurelweir.direct.DirectRoutingDriver.NOT_RUN;
import static org.laurelweir.direct.DirectRoutingDriver.route;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.direct.DirectEffect.BodyDropped;

/** Tests how long the router holds the body of a request. */
class HeldBodiesTest {
    private static final byte[] LARGE = new byte[1 << 20];

    private final DirectRoutingDriver mDriver = new DirectRoutingDriver(3);

    private void arrive(Route route) {
        AttemptRequest.Call call =
                new AttemptRequest.Call("POST", "/x", List.of(), LARGE, route.streamed());
        mDriver.arrive(
                1,
                new RoutedRequest(
                        "id1", route, "acc", 5, Duration.ofSeconds(1), call, Prompt.NONE));
    }

    /** Guards against bodies that fill the memory while their answers are on the way. */
    @Test
    void bodyIsDroppedOnceItCanNotBeSentAgain() {
        arrive(route(false, true, false));
        assertThat(mDriver.all(BodyDropped.class)).isEmpty();
        mDriver.answer(mDriver.lastCall().call(), 200, GENUINE);
        assertThat(mDriver.all(BodyDropped.class)).containsExactly(new BodyDropped(1));
    }

    /** Guards against sending a request without its body. */
    @Test
    void bodyIsHeldWhileAnotherServerMayNeedIt() {
        arrive(route(false, false, false));
        mDriver.answer(mDriver.lastCall().call(), 503, NOT_RUN);
        assertThat(mDriver.lastCall().request().call().body()).isSameAs(LARGE);
        arrive(route(true, false, false));
        mDriver.answer(mDriver.lastCall().call(), 200, INVALID);
        assertThat(mDriver.lastCall().request().call().body()).isSameAs(LARGE);
        mDriver.answer(mDriver.lastCall().call(), 200, GENUINE);
        assertThat(mDriver.all(BodyDropped.class)).isEmpty();
    }

    /** Guards against the same after a caller has gone whose request is left to finish. */
    @Test
    void requestOfACallerThatHasGoneIsNotSentAgain() {
        arrive(route(false, false, false));
        mDriver.step(new DirectEvent.CallerGone(1));
        int calls = mDriver.callCount();
        mDriver.answer(mDriver.lastCall().call(), 503, NOT_RUN);
        assertThat(mDriver.callCount()).isEqualTo(calls);
        assertThat(mDriver.isIdle()).isTrue();
    }
}
