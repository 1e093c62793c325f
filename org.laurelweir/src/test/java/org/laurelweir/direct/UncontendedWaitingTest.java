package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laurelweir.direct.DirectRoutingDriver.GENUINE;
import static org.laurelweir.direct.DirectRoutingDriver.NOT_RUN;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.zip.CRC32;
import org.junit.jupiter.api.Test;
import org.laurelweir.direct.DirectEffect.AnswerError;
import org.laurelweir.direct.DirectEffect.BeginCall;
import org.laurelweir.direct.DirectEffect.LogDecision;

/** Tests that requests without contention are decided as by a router that has no waiting queue. */
class UncontendedWaitingTest {
    private static final int STEPS = 4000;

    /** The checksum of the decisions of a router without a waiting queue. */
    private static final long CHECKSUM_WITHOUT_QUEUE = 1_518_121_942L;

    private final CRC32 mChecksum = new CRC32();
    private final List<BeginCall> mOpen = new ArrayList<>();
    private int mSeen;
    private long mLastCaller;
    private int mRefused;

    // Guards against another server, retry or delay for requests of deployments that do not ask
    // for any of this. Random arrivals at five servers, which are full for a part of the time.
    @Test
    void decisionsAndRandomDrawsAreThoseWithoutAQueue() {
        DirectRoutingDriver driver =
                new DirectRoutingDriver(5, DirectRoutingDriver.LIMITS, 20261204);
        SplittableRandom random = new SplittableRandom(7);
        for (int i = 0; i < STEPS; i++) {
            step(driver, random);
            driver.mEffects.subList(mSeen, driver.mEffects.size()).forEach(this::record);
            mSeen = driver.mEffects.size();
        }
        assertThat(mRefused).isBetween(200, 2000);
        assertThat(mChecksum.getValue()).isEqualTo(CHECKSUM_WITHOUT_QUEUE);
    }

    private void step(DirectRoutingDriver driver, SplittableRandom random) {
        driver.advance(Duration.ofMillis(random.nextInt(8)));
        int action = random.nextInt(40);
        if (action < 21 || mOpen.isEmpty()) {
            boolean streamed = random.nextBoolean();
            Route route = DirectRoutingDriver.route(random.nextBoolean(), streamed, streamed);
            Prompt.Part shared = new Prompt.Part(random.nextInt(9) + 1, 600);
            Prompt.Part own = new Prompt.Part(1000 + mLastCaller, 100);
            Prompt prompt = new Prompt(List.of(shared, own), 700, 50);
            driver.arrive(++mLastCaller, route, random.nextBoolean() ? prompt : Prompt.NONE);
        } else if (action == 21) {
            driver.step(new DirectEvent.CallerGone(1 + random.nextLong(mLastCaller)));
        } else {
            end(driver, mOpen.remove(random.nextInt(mOpen.size())), action, random);
        }
    }

    private static void end(
            DirectRoutingDriver driver, BeginCall b, int action, SplittableRandom random) {
        if (action == 22) {
            driver.answer(b.call(), 503, NOT_RUN);
        } else if (action == 23 && random.nextInt(8) == 0) {
            driver.step(
                    new DirectEvent.Failed(
                            b.call(), DirectEvent.Failure.NOT_SENT, "can't connect"));
        } else {
            driver.answer(b.call(), 200, GENUINE);
            driver.step(new DirectEvent.Finished(b.call()));
        }
    }

    private void record(DirectEffect effect) {
        String text = effect.getClass().getSimpleName();
        if (effect instanceof BeginCall b) {
            mOpen.add(b);
            text += b.call() + b.backend().toString() + b.request().id() + b.timeLeft();
        } else if (effect instanceof AnswerError e) {
            mRefused++;
            text += e;
        } else if (effect instanceof LogDecision d) {
            text += d.decision().choice() + d.decision().reason() + d.decision().candidates();
        }
        mChecksum.update(text.getBytes(StandardCharsets.UTF_8));
    }
}
