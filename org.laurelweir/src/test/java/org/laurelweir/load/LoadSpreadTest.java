package org.laurelweir.load;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that no engine gets far more than the mean load, although a router sees few requests. */
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

    // Guards against sending more and more requests to a stalled engine because no router knows the
    // requests of the others there.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void stalledEngineIsNotOverloaded(long seed) {
        LoadedFleet fleet = fleet(seed, MANY_ROUTERS);
        fleet.mTime.every(STALL_INTERVAL_MILLIS, () -> fleet.mEngines.stall(STALL_MILLIS));
        fleet.mTime.advance(RUN_MILLIS);
        assertBoundHolds(fleet);
    }

    // Guards against sending all requests with a hot prompt part to the home of the part.
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15})
    void hotPartDoesNotOverloadItsHome(long seed) {
        LoadedFleet fleet = fleet(seed, MANY_ROUTERS);
        fleet.makeHot(HOT_SHARE);
        fleet.mTime.advance(RUN_MILLIS);
        assertBoundHolds(fleet);
    }

    // Guards against using the load that an engine reported once for seconds, with few routers.
    @ParameterizedTest
    @ValueSource(longs = {21, 22, 23, 24, 25})
    void hotPartDoesNotOverloadItsHomeWithFewRouters(long seed) {
        LoadedFleet fleet = fleet(seed, FEW_ROUTERS);
        fleet.makeHot(HOT_SHARE);
        fleet.mTime.advance(RUN_MILLIS);
        assertBoundHolds(fleet);
    }
}
