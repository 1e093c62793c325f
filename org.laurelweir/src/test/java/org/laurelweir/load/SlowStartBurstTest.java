package org.laurelweir.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.load.FleetEngines.SlowStartArrival;

/** Tests a data centre whose engines start together, in slow start, while many callers press. */
class SlowStartBurstTest {
    private static final int ENGINES = 37;
    private static final int ROUTERS = 31;
    private static final double REQUESTS_PER_SECOND = 150;
    private static final double BURST_REQUESTS_PER_SECOND = 100;
    private static final int WARM_UP_MILLIS = 8000;
    private static final int DOWN_MILLIS = 2000;
    private static final int SLOW_START_MILLIS = 3000;
    private static final int RUN_MILLIS = 9000;
    private static final int WINDOW_MILLIS = 1000;

    /** An engine in slow start may get this multiple of its rate in a second, and a few more. */
    private static final double OVERSHOOT = 1.5;

    private static final int SLACK = 5;

    private static LoadedFleet runRestart(long seed) {
        LoadedFleet fleet = new LoadedFleet(seed, ROUTERS, ENGINES);
        fleet.startLoad(REQUESTS_PER_SECOND);
        fleet.mTime.advance(WARM_UP_MILLIS);
        fleet.startLoad(BURST_REQUESTS_PER_SECOND);
        fleet.mEngines.restartDataCentre(1, DOWN_MILLIS, SLOW_START_MILLIS);
        fleet.mTime.advance(RUN_MILLIS);
        return fleet;
    }

    /** Returns the maximum number of requests that one engine in slow start got in a second. */
    private static int maxInAnySecond(LoadedFleet fleet) {
        Map<BackendRef, Deque<Long>> windows = new HashMap<>();
        int max = 0;
        for (SlowStartArrival a : fleet.mEngines.slowStartArrivals()) {
            Deque<Long> window = windows.computeIfAbsent(a.engine(), e -> new ArrayDeque<>());
            while (!window.isEmpty() && window.peek() <= a.atMillis() - WINDOW_MILLIS) {
                window.remove();
            }
            window.add(a.atMillis());
            max = Math.max(max, window.size());
        }
        return max;
    }

    // Guards against crashing the engines of a data centre that have just started: they are empty
    // and would attract the requests of all routers.
    @ParameterizedTest
    @ValueSource(longs = {31, 32, 33, 34, 35})
    void enginesInSlowStartGetNoMoreThanTheyBear(long seed) {
        LoadedFleet fleet = runRestart(seed);
        assertThat(fleet.mEngines.slowStartArrivals()).isNotEmpty();
        assertThat(maxInAnySecond(fleet))
                .isLessThanOrEqualTo((int) (OVERSHOOT * LoadedFleet.SLOW_START_RATE + SLACK));
    }

    // Guards against overloading or refusing at the other engines meanwhile: three quarters of the
    // fleet have free slots throughout.
    @ParameterizedTest
    @ValueSource(longs = {41, 42, 43})
    void otherEnginesCarryTheLoadMeanwhile(long seed) {
        LoadedFleet fleet = runRestart(seed);
        assertThat(fleet.mAnswers.keySet()).doesNotContain(ResultCode.OVERLOADED);
        assertThat(fleet.mAnswers.keySet()).doesNotContain(ResultCode.NO_BACKEND_SERVER);
    }
}
