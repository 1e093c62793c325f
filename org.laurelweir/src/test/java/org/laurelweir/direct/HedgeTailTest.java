package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laurelweir.direct.DirectRoutingDriver.GENUINE;
import static org.laurelweir.direct.DirectRoutingDriver.LIMITS;
import static org.laurelweir.direct.DirectRoutingDriver.route;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntBiFunction;
import org.junit.jupiter.api.Test;
import org.laurelweir.direct.DirectEffect.AnswerComplete;
import org.laurelweir.direct.DirectEffect.BeginCall;
import org.laurelweir.direct.DirectEffect.CancelCall;

/** Tests the slowest answers of four servers, of which one is slow or stalls. */
class HedgeTailTest {
    private static final Route READ = route(true, false, false, 2);
    private static final int WORK_MILLIS = 20;

    /** The longest work at a server that is neither slow nor stalls. */
    private static final int MAX_WORK_MILLIS = 30;

    private static final int REQUEST_INTERVAL_MILLIS = 10;
    private static final int END_MILLIS = 30_000;
    private static final double SHARE = 0.2;

    /** The objective of the route, and the interval at which requests are checked. */
    private static final int TARGET_MILLIS = 110;

    private final Map<Long, Integer> mArrivals = new HashMap<>();
    private final List<Integer> mTimes = new ArrayList<>();
    private int mCalls;

    /**
     * Runs requests.
     *
     * @param workMillis returns the time of a call at a server from a time
     */
    private int[] run(double share, ToIntBiFunction<String, Integer> workMillis) {
        DirectRoutingDriver driver = new DirectRoutingDriver(4, LIMITS, 5, share);
        driver.mTerms = new RequestTerms(true, 1, 0, Map.of());
        Map<Integer, List<Long>> ends = new HashMap<>();
        Set<Long> cancelled = new HashSet<>();
        mArrivals.clear();
        mTimes.clear();
        mCalls = 0;
        for (int now = 0; now < END_MILLIS + 1000; now++) {
            driver.advance(Duration.ofMillis(1));
            driver.setMeanLoad(1);
            if (now < END_MILLIS && now % REQUEST_INTERVAL_MILLIS == 0) {
                mArrivals.put((long) now, now);
                driver.arrive(now, READ);
            }
            for (long call : ends.getOrDefault(now, List.of())) {
                if (!cancelled.contains(call)) {
                    driver.answer(call, 200, GENUINE);
                    driver.step(new DirectEvent.Finished(call));
                }
            }
            for (DirectEffect e : driver.mEffects) {
                if (e instanceof BeginCall b) {
                    mCalls++;
                    int end = now + workMillis.applyAsInt(b.backend().id(), now);
                    ends.computeIfAbsent(end, t -> new ArrayList<>()).add(b.call());
                } else if (e instanceof CancelCall c) {
                    cancelled.add(c.call());
                } else if (e instanceof AnswerComplete a) {
                    mTimes.add(now - mArrivals.remove(a.caller()));
                }
            }
            driver.mEffects.clear();
        }
        assertThat(driver.isIdle()).isTrue();
        assertThat(mArrivals).isEmpty();
        int requests = END_MILLIS / REQUEST_INTERVAL_MILLIS;
        assertThat(mCalls - requests).isLessThanOrEqualTo((int) (share * requests));
        return mTimes.stream().mapToInt(t -> t).sorted().toArray();
    }

    private static int quantile(int[] sorted, double share) {
        return sorted[(int) Math.ceil(share * sorted.length) - 1];
    }

    private static double shareWithinTarget(int[] times) {
        return (double) Arrays.stream(times).filter(t -> t <= TARGET_MILLIS).count() / times.length;
    }

    /** Returns the server that has its turn: the choice of servers can't learn which one it is. */
    private static String inTurn(int now, int turnMillis) {
        return "s" + now / turnMillis % 4;
    }

    // Guards against callers that miss the target while three servers have free slots.
    @Test
    void oneSlowServerOfFourDelaysFewerCallersThanWithoutHedging() {
        ToIntBiFunction<String, Integer> work =
                (server, now) ->
                        (server.equals(inTurn(now, 250)) ? 10 : 1)
                                * (WORK_MILLIS + now * 7 / 10 % 11);
        int[] without = run(0, work);
        int[] with = run(SHARE, work);
        assertThat(shareWithinTarget(without)).isLessThan(0.98);
        assertThat(shareWithinTarget(with)).isGreaterThan(0.99);
        assertThat(quantile(with, 0.5)).isLessThanOrEqualTo(MAX_WORK_MILLIS);
    }

    // Guards against a stall of one server that reaches the callers.
    @Test
    void serverThatStallsNowAndThenDelaysFewerCallersThanWithoutHedging() {
        ToIntBiFunction<String, Integer> work =
                (server, now) -> {
                    int stallLeft = server.equals(inTurn(now, 1500)) ? 200 - now % 1500 : 0;
                    return Math.max(0, stallLeft) + WORK_MILLIS + now * 7 / 10 % 11;
                };
        int[] without = run(0, work);
        int[] with = run(SHARE, work);
        assertThat(shareWithinTarget(without)).isLessThan(0.99);
        assertThat(shareWithinTarget(with)).isGreaterThan(0.995);
    }
}
