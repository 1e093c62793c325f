package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laurelweir.direct.DirectRoutingDriver.GENUINE;

import java.time.Duration;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.laurelweir.direct.DirectEffect.BeginCall;

/**
 * Load pattern: a plain service of three servers, one of which fails two in five requests while its
 * health looks good. Seven in ten requests may run once only, and are lost where they fail.
 */
class FailingServerTest {
    private static final Route NON_IDEMPOTENT = DirectRoutingDriver.route(false, false, false);
    private static final Route IDEMPOTENT = DirectRoutingDriver.route(true, false, false);
    private static final String FAILING_SERVER = "s1";
    private static final double FAILURE_RATE = 0.4;
    private static final double NON_IDEMPOTENT_SHARE = 0.7;
    private static final int REQUEST_COUNT = 3000;
    private static final long SEED = 7;

    private final DirectRoutingDriver mDriver = new DirectRoutingDriver(3);
    private final SplittableRandom mRandom = new SplittableRandom(SEED);
    private int mLostRequests;

    private int answer(BeginCall call) {
        boolean fails =
                call.backend().id().equals(FAILING_SERVER) && mRandom.nextDouble() < FAILURE_RATE;
        mDriver.answer(call.call(), fails ? 500 : 200, GENUINE);
        return fails ? 500 : 200;
    }

    private void send(int caller, Route route) {
        mDriver.arrive(caller, route);
        BeginCall call = mDriver.lastCall();
        int status = answer(call);
        if (status != 200 && route == IDEMPOTENT) {
            call = mDriver.lastCall();
            status = answer(call);
        }
        mDriver.step(new DirectEvent.Finished(call.call()));
        mLostRequests += status != 200 && route == NON_IDEMPOTENT ? 1 : 0;
    }

    @Test
    void nonIdempotentRequestsAvoidAServerThatFailedRecently() {
        // With a choice that only ejects after two failures in a row 78 of 2,093 are lost; of any
        // single failure the server's next requests are not spared.
        int unsafe = 0;
        for (int i = 1; i <= REQUEST_COUNT; i++) {
            boolean once = mRandom.nextDouble() < NON_IDEMPOTENT_SHARE;
            unsafe += once ? 1 : 0;
            send(i, once ? NON_IDEMPOTENT : IDEMPOTENT);
            mDriver.advance(Duration.ofMillis(50));
        }
        System.out.printf("seed %d: %d of %d lost%n", SEED, mLostRequests, unsafe);
        assertThat((double) mLostRequests / unsafe).isLessThan(0.03);
    }

    @Test
    void singleFailureIsForgottenSoon() {
        // Nothing but requests that may run once: nobody else would find out that it is sound.
        mDriver.arrive(1, NON_IDEMPOTENT);
        BeginCall first = mDriver.lastCall();
        mDriver.answer(first.call(), 500, GENUINE);
        mDriver.step(new DirectEvent.Finished(first.call()));
        mDriver.advance(Duration.ofSeconds(3));
        int again = 0;
        for (int i = 2; i < 200; i++) {
            send(i, NON_IDEMPOTENT);
            again += mDriver.lastCall().backend().equals(first.backend()) ? 1 : 0;
        }
        assertThat(again).isGreaterThan(20);
    }
}
