package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laurelweir.direct.DirectDriver.GENUINE;

import java.time.Duration;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.laurelweir.direct.DirectEffect.BeginCall;

/**
 * Load pattern: a plain service of three servers, one of which fails two in five requests while its
 * health looks good. Seven in ten requests may run once only, and are lost where they fail.
 */
class FailingServerTest {
    private static final Route UNSAFE = DirectDriver.route(false, false, false);
    private static final Route SAFE = DirectDriver.route(true, false, false);
    private static final String FAILING = "s1";
    private static final double FAILS = 0.4;
    private static final double UNSAFE_SHARE = 0.7;
    private static final int REQUESTS = 3000;
    private static final long SEED = 7;

    private final DirectDriver mDriver = new DirectDriver(3);
    private final SplittableRandom mRandom = new SplittableRandom(SEED);
    private int mLost;

    private int answer(BeginCall call) {
        boolean fails = call.backend().id().equals(FAILING) && mRandom.nextDouble() < FAILS;
        mDriver.answer(call.call(), fails ? 500 : 200, GENUINE);
        return fails ? 500 : 200;
    }

    private void send(int caller, Route route) {
        mDriver.arrive(caller, route);
        BeginCall call = mDriver.call();
        int status = answer(call);
        if (status != 200 && route == SAFE) {
            call = mDriver.call();
            status = answer(call);
        }
        mDriver.give(new DirectEvent.Finished(call.call()));
        mLost += status != 200 && route == UNSAFE ? 1 : 0;
    }

    @Test
    void requestsThatMayRunOnceOnlyKeepAwayFromAServerThatHasJustFailed() {
        // With a choice that only ejects after two failures in a row 78 of 2,093 are lost; of any
        // single failure the server's next requests are not spared.
        int unsafe = 0;
        for (int i = 1; i <= REQUESTS; i++) {
            boolean once = mRandom.nextDouble() < UNSAFE_SHARE;
            unsafe += once ? 1 : 0;
            send(i, once ? UNSAFE : SAFE);
            mDriver.pass(Duration.ofMillis(50));
        }
        System.out.printf("seed %d: %d of %d lost%n", SEED, mLost, unsafe);
        assertThat((double) mLost / unsafe).isLessThan(0.03);
    }

    @Test
    void oneFailureDoesNotKeepASoundServerAwayForLong() {
        // Nothing but requests that may run once: nobody else would find out that it is sound.
        mDriver.arrive(1, UNSAFE);
        BeginCall first = mDriver.call();
        mDriver.answer(first.call(), 500, GENUINE);
        mDriver.give(new DirectEvent.Finished(first.call()));
        mDriver.pass(Duration.ofSeconds(3));
        int again = 0;
        for (int i = 2; i < 200; i++) {
            send(i, UNSAFE);
            again += mDriver.call().backend().equals(first.backend()) ? 1 : 0;
        }
        assertThat(again).isGreaterThan(20);
    }
}
