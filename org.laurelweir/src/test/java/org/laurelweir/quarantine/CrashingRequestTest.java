package org.laurelweir.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.laurelweir.coordination.ControlEffect;
import org.laurelweir.coordination.ControlEvent;
import org.laurelweir.direct.Route;
import org.laurelweir.fleet.FleetRouter;
import org.laurelweir.lib.ResultCode;

/** What becomes of a request that ends whichever backend server runs it, and of all others. */
class CrashingRequestTest {
    /** Time in which all routers have to know. */
    private static final long PROPAGATION_MILLIS = 3000;

    /** Ends after which a request counts as the cause. */
    private static final int QUARANTINE_CRASHES = 3;

    /** Sends that the whole fleet may still make after that, as trials. */
    private static final int MAX_TRIALS = 3;

    private static final int CRASHING_INTERVAL_MILLIS = 400;
    private static final int OTHERS_INTERVAL_MILLIS = 25;
    private static final int FREQUENT_INTERVAL_MILLIS = 100;
    private static final int RUN_MILLIS = 20_000;

    private static final Route IDEMPOTENT = RoutedFleet.route(true, false, false);
    private static final Route STREAM = RoutedFleet.route(false, true, false);
    private static final Route RESUMABLE = RoutedFleet.route(false, true, true);
    private static final List<Route> ROUTES = List.of(IDEMPOTENT, STREAM, RESUMABLE);

    /** What callers other than that of the crashing request were told. */
    private final List<ResultCode> mOtherResults = new ArrayList<>();

    private void sendCrashing(RoutedFleet fleet, Route route) {
        fleet.mTime.every(
                CRASHING_INTERVAL_MILLIS,
                () -> fleet.submit(route, FleetServers.CRASHING_BODY, code -> {}));
    }

    private void sendOthers(RoutedFleet fleet, Route route) {
        fleet.mTime.every(
                OTHERS_INTERVAL_MILLIS, () -> fleet.submitUnique(route, mOtherResults::add));
    }

    private void sendWithInvalidAnswer(RoutedFleet fleet, Route route) {
        fleet.submit(route, FleetServers.INVALID_ANSWER_BODY, mOtherResults::add);
    }

    /** Sends of the crashing request from the time on at which all routers have to know. */
    private static long lateSends(RoutedFleet fleet) {
        List<Long> ends = fleet.mServers.crashTimes();
        assertThat(ends).hasSizeGreaterThanOrEqualTo(QUARANTINE_CRASHES);
        long known = ends.get(QUARANTINE_CRASHES - 1) + PROPAGATION_MILLIS;
        return fleet.mServers.crashingArrivalTimes().stream().filter(at -> at > known).count();
    }

    // One request ended every server that ran it, for as long as it came, and each time cut all
    // others there.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void crashingRequestIsQuarantined(long seed) {
        for (Route route : ROUTES) {
            RoutedFleet fleet = new RoutedFleet(seed);
            sendCrashing(fleet, route);
            sendOthers(fleet, route);
            fleet.mTime.advance(RUN_MILLIS);
            assertThat(lateSends(fleet)).as("%s", route).isLessThanOrEqualTo(MAX_TRIALS);
        }
    }

    // A server that ended after the head of an answer that can't be taken was no end to anyone.
    @ParameterizedTest
    @ValueSource(longs = {71, 72, 73, 74, 75})
    void crashingRequestWithInvalidHeadsIsQuarantined(long seed) {
        for (Route route : ROUTES) {
            RoutedFleet fleet = new RoutedFleet(seed);
            fleet.mServers.invalidateCrashingAnswers();
            sendCrashing(fleet, route);
            sendOthers(fleet, route);
            fleet.mTime.advance(RUN_MILLIS);
            assertThat(lateSends(fleet)).as("%s", route).isLessThanOrEqualTo(MAX_TRIALS);
        }
    }

    // Servers that spoil their answers and live on were taken for ended, and a request refused.
    @ParameterizedTest
    @ValueSource(longs = {81, 82, 83, 84, 85})
    void requestWithInvalidAnswersOfLiveServersIsNotQuarantined(long seed) {
        for (Route route : ROUTES) {
            RoutedFleet fleet = new RoutedFleet(seed);
            fleet.mTime.every(FREQUENT_INTERVAL_MILLIS, () -> sendWithInvalidAnswer(fleet, route));
            fleet.mTime.advance(RUN_MILLIS);
            assertThat(mOtherResults)
                    .as("%s", route)
                    .doesNotContain(ResultCode.REQUEST_QUARANTINED);
        }
    }

    // The same, where live servers also cut the connections of such answers.
    @ParameterizedTest
    @ValueSource(longs = {91, 92, 93, 94, 95})
    void requestWithInvalidAnswersCutByLiveServersIsNotQuarantined(long seed) {
        for (Route route : ROUTES) {
            RoutedFleet fleet = new RoutedFleet(seed);
            fleet.mServers.cutInvalidAnswers(50);
            fleet.mTime.every(CRASHING_INTERVAL_MILLIS, () -> sendWithInvalidAnswer(fleet, route));
            sendOthers(fleet, route);
            fleet.mTime.advance(RUN_MILLIS);
            assertThat(mOtherResults)
                    .as("%s", route)
                    .doesNotContain(ResultCode.REQUEST_QUARANTINED);
        }
    }

    // Others that were at the same servers were refused as if they had ended them.
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15})
    void otherRequestsAtTheSameServersAreNotQuarantined(long seed) {
        for (Route route : ROUTES) {
            RoutedFleet fleet = new RoutedFleet(seed);
            sendCrashing(fleet, route);
            sendOthers(fleet, route);
            fleet.mTime.every(
                    FREQUENT_INTERVAL_MILLIS,
                    () -> fleet.submit(route, "busy", mOtherResults::add));
            fleet.mTime.advance(RUN_MILLIS);
            assertThat(mOtherResults)
                    .as("%s", route)
                    .doesNotContain(ResultCode.REQUEST_QUARANTINED);
        }
    }

    // A request that many callers send was refused after servers had ended by chance.
    @ParameterizedTest
    @ValueSource(longs = {21, 22, 23, 24, 25})
    void frequentRequestIsNotQuarantinedForUnrelatedCrashes(long seed) {
        for (Route route : ROUTES) {
            RoutedFleet fleet = new RoutedFleet(seed);
            fleet.mTime.every(900, fleet.mServers::crashOne);
            fleet.mTime.every(
                    FREQUENT_INTERVAL_MILLIS,
                    () -> fleet.submit(route, "busy", mOtherResults::add));
            sendOthers(fleet, route);
            fleet.mTime.advance(RUN_MILLIS);
            assertThat(mOtherResults)
                    .as("%s", route)
                    .doesNotContain(ResultCode.REQUEST_QUARANTINED);
        }
    }

    // What control knew was lost with its processes, and the request was sent again.
    @ParameterizedTest
    @ValueSource(longs = {31, 32, 33, 34, 35})
    void restartedControlInstancesLearnTheQuarantine(long seed) {
        RoutedFleet fleet = new RoutedFleet(seed);
        sendCrashing(fleet, IDEMPOTENT);
        sendOthers(fleet, IDEMPOTENT);
        fleet.mTime.advance(10_000);
        for (int i = 0; i < RoutedFleet.CONTROL_COUNT; i++) {
            fleet.mControls.stop(i);
        }
        fleet.mTime.advance(300);
        for (int i = 0; i < RoutedFleet.CONTROL_COUNT; i++) {
            fleet.mControls.start(i);
        }
        fleet.mTime.advance(5_000);
        fleet.mRouters.forEach(FleetRouter::start);
        fleet.mTime.advance(RUN_MILLIS);
        assertThat(lateSends(fleet)).isZero();
    }

    // A router that had just started knew nothing and tried once more.
    @ParameterizedTest
    @ValueSource(longs = {41, 42, 43, 44, 45})
    void restartedRoutersLearnTheQuarantine(long seed) {
        RoutedFleet fleet = new RoutedFleet(seed);
        sendCrashing(fleet, IDEMPOTENT);
        sendOthers(fleet, IDEMPOTENT);
        fleet.mTime.every(
                500,
                () ->
                        fleet.mRouters
                                .get(fleet.mTime.random().nextInt(RoutedFleet.ROUTER_COUNT))
                                .start());
        fleet.mTime.advance(RUN_MILLIS);
        assertThat(lateSends(fleet)).isZero();
    }

    // After its servers were mended a request stayed refused on routers other than the one asked.
    @ParameterizedTest
    @ValueSource(longs = {61, 62, 63, 64, 65})
    void releaseByAnOperatorReachesEveryRouter(long seed) {
        RoutedFleet fleet = new RoutedFleet(seed);
        sendCrashing(fleet, IDEMPOTENT);
        fleet.mTime.advance(10_000);
        fleet.mServers.repair();
        RequestKey key = RoutedFleet.requestKey(IDEMPOTENT, FleetServers.CRASHING_BODY);
        ControlEffect.Answer[] told = new ControlEffect.Answer[1];
        fleet.mControls.call(
                0, call -> new ControlEvent.ReleaseRequested(call, key, "op"), a -> told[0] = a);
        fleet.mTime.advance(PROPAGATION_MILLIS);
        assertThat(told[0]).isInstanceOf(ControlEffect.AnswerReleased.class);
        sendOthers(fleet, IDEMPOTENT);
        int before = fleet.mServers.crashingArrivalTimes().size();
        fleet.mTime.advance(10_000);
        assertThat(fleet.mServers.crashingArrivalTimes().size() - before)
                .isGreaterThanOrEqualTo(10_000 / CRASHING_INTERVAL_MILLIS - 1);
    }

    // While one control instance is down its routers take some time to find another one.
    @ParameterizedTest
    @ValueSource(longs = {51, 52, 53, 54, 55})
    void quarantineReachesAllRoutersWithAControlInstanceDown(long seed) {
        RoutedFleet fleet = new RoutedFleet(seed);
        fleet.mControls.stop((int) (seed % RoutedFleet.CONTROL_COUNT));
        sendCrashing(fleet, STREAM);
        sendOthers(fleet, STREAM);
        fleet.mTime.advance(RUN_MILLIS);
        assertThat(lateSends(fleet)).isZero();
    }
}
