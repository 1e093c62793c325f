package org.laurelweir.load;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** How full the fullest engines get where each of many routers sees little of the work. */
class LoadSpreadTest {
    private static final int ENGINES = 37;
    private static final int FEW_ROUTERS = 9;
    private static final int MANY_ROUTERS = 35;
    private static final double REQUESTS_PER_SECOND = 200;
    private static final double HOT_SHARE = 0.4;
    private static final int WARM_UP_MILLIS = 3000;
    private static final int RUN_MILLIS = 8000;
    private static final int STALL_INTERVAL_MILLIS = 700;
    private static final int STALL_MILLIS = 2500;

    private static LoadedFleet fleet(long seed, int routers) {
        LoadedFleet fleet = new LoadedFleet(seed, routers, ENGINES);
        fleet.startLoad(REQUESTS_PER_SECOND);
        fleet.mTime.advance(WARM_UP_MILLIS);
        return fleet;
    }

    private static void assertBoundHolds(LoadedFleet fleet) {
        LoadBoundCheck check = new LoadBoundCheck(fleet.mEngines.arrivals());
        assertThat(check.isViolated()).as("%s", check).isFalse();
    }

    // An engine that finished nothing got more and more: no router knew what others had there.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void stalledEngineIsNotOverloaded(long seed) {
        LoadedFleet fleet = fleet(seed, MANY_ROUTERS);
        fleet.mTime.every(STALL_INTERVAL_MILLIS, () -> fleet.mEngines.stall(STALL_MILLIS));
        fleet.mTime.advance(RUN_MILLIS);
        assertBoundHolds(fleet);
    }

    // The engine that a part in demand is at home on got all requests about it.
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15})
    void hotPartDoesNotOverloadItsHome(long seed) {
        LoadedFleet fleet = fleet(seed, MANY_ROUTERS);
        fleet.makeHot(HOT_SHARE);
        fleet.mTime.advance(RUN_MILLIS);
        assertBoundHolds(fleet);
    }

    // Few routers believed what an engine had told them once for seconds.
    @ParameterizedTest
    @ValueSource(longs = {21, 22, 23, 24, 25})
    void hotPartDoesNotOverloadItsHomeWithFewRouters(long seed) {
        LoadedFleet fleet = fleet(seed, FEW_ROUTERS);
        fleet.makeHot(HOT_SHARE);
        fleet.mTime.advance(RUN_MILLIS);
        assertBoundHolds(fleet);
    }
}
