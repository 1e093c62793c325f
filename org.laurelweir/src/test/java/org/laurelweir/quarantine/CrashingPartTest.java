package org.laurelweir.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.laurelweir.direct.Route;
import org.laurelweir.fleet.FleetRouter;
import org.laurelweir.lib.ResultCode;

/**
 * Tests the quarantine of a part of prompts that crashes every backend server, in requests of which
 * no two are alike, and its effect on sound requests that share the account and the other parts.
 */
class CrashingPartTest {
    private static final long BAD = FleetServers.CRASHING_PART;

    /** The first part of most prompts. */
    private static final long COMMON_FIRST = 0xba5eL;

    private static final long OTHER_FIRST = 0xf157L;
    private static final long COMMON = 0xbL;

    /** A part that is beside the crashing one at first. */
    private static final long COMPANION = 0xcL;

    /** The first of the parts of which each is in few prompts. */
    private static final long FIRST_RARE = 0x1000L;

    private static final int RARE_PARTS = 40;

    /** Time within which all routers have to learn of a crash. */
    private static final long PROPAGATION_MILLIS = 3000;

    /** The crash after which only {@link #MAX_LATE_SENDS} requests may still reach servers. */
    private static final int LAST_ALLOWED_CRASH = 5;

    private static final int MAX_LATE_SENDS = 3;

    /** From this time after the last allowed crash on, sound requests have to be served again. */
    private static final long RECOVERY_MILLIS = 2 * PROPAGATION_MILLIS;

    private static final double MIN_BEGUN_SHARE = 0.5;
    private static final int MIN_SOUND_REQUESTS = 20;

    private static final int BAD_INTERVAL_MILLIS = 400;
    private static final int SOUND_INTERVAL_MILLIS = 20;
    private static final int RARE_INTERVAL_MILLIS = 250;
    private static final int QUIET_MILLIS = 3_000;
    private static final int RUN_MILLIS = 25_000;

    private static final Route IDEMPOTENT = RoutedFleet.route(true, false, false);
    private static final Route STREAM = RoutedFleet.route(false, true, false);
    private static final Route RESUMABLE = RoutedFleet.route(false, true, true);
    private static final List<Route> ROUTES = List.of(IDEMPOTENT, STREAM, RESUMABLE);

    private long mLastUniquePart = 1L << 30;

    /** A sound request, by the time at which it was sent first. */
    private record Sound(long time, String body, boolean isRare) {}

    /** Sound and bad requests in one fleet. */
    private final class Traffic {
        private final RoutedFleet mFleet;
        private final Route mRoute;
        private final List<Sound> mSound = new ArrayList<>();
        private final List<ResultCode> mSoundResults = new ArrayList<>();

        Traffic(RoutedFleet fleet, Route route) {
            mFleet = fleet;
            mRoute = route;
        }

        void sendSound(List<Long> parts) {
            mFleet.mTime.every(SOUND_INTERVAL_MILLIS, () -> sendOne(parts, false));
        }

        void sendRare(long firstPart) {
            mFleet.mTime.every(
                    RARE_INTERVAL_MILLIS,
                    () -> {
                        long rare = FIRST_RARE + mFleet.mTime.random().nextInt(RARE_PARTS);
                        sendOne(List.of(firstPart, rare), true);
                    });
        }

        private void sendOne(List<Long> parts, boolean isRare) {
            String body =
                    mFleet.submitPrompt(mRoute, RoutedFleet.ACCOUNT, parts, mSoundResults::add);
            mSound.add(new Sound(mFleet.mTime.millis(), body, isRare));
        }

        void sendBad(Supplier<List<Long>> parts) {
            mFleet.mTime.every(
                    BAD_INTERVAL_MILLIS,
                    () ->
                            mFleet.submitPrompt(
                                    mRoute, RoutedFleet.ACCOUNT, parts.get(), code -> {}));
        }

        /** Returns how many bad requests reached servers after all routers had to know the part. */
        long lateSends() {
            long known = lastAllowedCrash() + PROPAGATION_MILLIS;
            return mFleet.mServers.crashingArrivalTimes().stream().filter(t -> t > known).count();
        }

        private long lastAllowedCrash() {
            List<Long> crashes = mFleet.mServers.crashTimes();
            return crashes.get(Math.min(crashes.size(), LAST_ALLOWED_CRASH) - 1);
        }

        /** Returns the share of sound requests after the recovery time that a server began. */
        double begunShare(boolean isRare) {
            long recovered = lastAllowedCrash() + RECOVERY_MILLIS;
            List<Sound> sent =
                    mSound.stream()
                            .filter(s -> s.isRare() == isRare && s.time() > recovered)
                            .toList();
            assertThat(sent).hasSizeGreaterThanOrEqualTo(MIN_SOUND_REQUESTS);
            return (double)
                            sent.stream()
                                    .filter(s -> mFleet.mServers.begunBodies().contains(s.body()))
                                    .count()
                    / sent.size();
        }

        /** Checks both: bad requests are kept away, and sound ones are not. */
        void assertOnlyBadIsKeptAway() {
            assertThat(lateSends())
                    .as("late sends, %s", mRoute)
                    .isLessThanOrEqualTo(MAX_LATE_SENDS);
            assertThat(begunShare(false)).as("sound, %s", mRoute).isGreaterThan(MIN_BEGUN_SHARE);
            assertThat(begunShare(true)).as("rare, %s", mRoute).isGreaterThan(MIN_BEGUN_SHARE);
        }
    }

    private long uniquePart() {
        return ++mLastUniquePart;
    }

    private Traffic traffic(long seed, Route route, long soundFirstPart) {
        Traffic t = new Traffic(new RoutedFleet(seed), route);
        t.sendSound(List.of(soundFirstPart, COMMON));
        t.sendRare(soundFirstPart);
        t.mFleet.mTime.advance(QUIET_MILLIS);
        return t;
    }

    // Guards against a part of prompts that crashes one server after the other, in requests that
    // are all new: the part is behind a first part that most sound requests have too.
    @ParameterizedTest
    @ValueSource(longs = {201, 202, 203, 204, 205})
    void partInTheMiddleIsQuarantinedAndSoundRequestsAreServed(long seed) {
        for (Route route : ROUTES) {
            Traffic t = traffic(seed, route, COMMON_FIRST);
            t.sendBad(() -> List.of(COMMON_FIRST, BAD));
            t.mFleet.mTime.advance(RUN_MILLIS);
            t.assertOnlyBadIsKeptAway();
        }
    }

    // As above, where the part is the first one, and a sound part stands behind it.
    @ParameterizedTest
    @ValueSource(longs = {211, 212, 213, 214, 215})
    void firstPartIsQuarantinedAndSoundRequestsAreServed(long seed) {
        for (Route route : ROUTES) {
            Traffic t = traffic(seed, route, OTHER_FIRST);
            t.sendBad(() -> List.of(BAD, COMMON));
            t.mFleet.mTime.advance(RUN_MILLIS);
            t.assertOnlyBadIsKeptAway();
        }
    }

    // As above, where each bad request also has parts that no other one has, while servers crash by
    // themselves and routers are killed.
    @ParameterizedTest
    @ValueSource(longs = {221, 222, 223, 224, 225})
    void partBesideUniquePartsIsQuarantinedAmongOtherFailures(long seed) {
        for (Route route : ROUTES) {
            Traffic t = traffic(seed, route, COMMON_FIRST);
            t.sendBad(() -> List.of(COMMON_FIRST, uniquePart(), BAD, uniquePart()));
            t.mFleet.mTime.every(2_500, t.mFleet.mServers::crashOne);
            t.mFleet.mTime.every(3_000, () -> randomRouter(t).restart());
            t.mFleet.mTime.advance(RUN_MILLIS);
            t.assertOnlyBadIsKeptAway();
        }
    }

    private static FleetRouter randomRouter(Traffic t) {
        return t.mFleet.mRouters.get(t.mFleet.mTime.random().nextInt(RoutedFleet.ROUTER_COUNT));
    }

    // Guards against the refusal of a sound part that has only been seen beside the cause.
    @ParameterizedTest
    @ValueSource(longs = {231, 232, 233, 234, 235})
    void partSeenOnlyBesideTheCauseIsServedAlone(long seed) {
        for (Route route : ROUTES) {
            Traffic t = traffic(seed, route, COMMON_FIRST);
            t.sendBad(() -> List.of(COMPANION, BAD));
            t.mFleet.mTime.advance(PROPAGATION_MILLIS);
            t.sendSound(List.of(COMPANION, COMMON));
            t.mFleet.mTime.advance(RUN_MILLIS);
            t.assertOnlyBadIsKeptAway();
        }
    }

    // As above, where the cause comes without that part later.
    @ParameterizedTest
    @ValueSource(longs = {241, 242, 243, 244, 245})
    void causeIsQuarantinedWithoutThePartsThatWereAlwaysBesideIt(long seed) {
        for (Route route : ROUTES) {
            Traffic t = traffic(seed, route, COMMON_FIRST);
            long change = t.mFleet.mTime.millis() + PROPAGATION_MILLIS;
            t.sendBad(
                    () ->
                            t.mFleet.mTime.millis() < change
                                    ? List.of(COMPANION, BAD)
                                    : List.of(COMMON_FIRST, BAD));
            t.mFleet.mTime.advance(RUN_MILLIS);
            t.assertOnlyBadIsKeptAway();
        }
    }

    // Guards against the refusal of a first part that most requests hold, where so few of them come
    // that none is served between the crashes.
    @ParameterizedTest
    @ValueSource(longs = {251, 252, 253, 254, 255})
    void partsOfAQuietRouteAreServed(long seed) {
        for (Route route : ROUTES) {
            Traffic t = new Traffic(new RoutedFleet(seed), route);
            t.mFleet.mTime.every(700, () -> t.sendOne(List.of(COMMON_FIRST, COMMON), false));
            t.mFleet.mTime.every(900, () -> t.sendOne(List.of(COMMON_FIRST, COMPANION), true));
            t.mFleet.mTime.every(2_500, t.mFleet.mServers::crashOne);
            t.mFleet.mTime.advance(QUIET_MILLIS);
            t.sendBad(() -> List.of(COMMON_FIRST, BAD));
            t.mFleet.mTime.advance(2 * RUN_MILLIS);
            t.assertOnlyBadIsKeptAway();
        }
    }

    // Guards against missing the crashes of servers whose answers end with their connection, inside
    // an event or where nothing in the answer shows the crash: the part would count as served.
    @ParameterizedTest
    @ValueSource(longs = {261, 262, 263, 264, 265})
    void partWithAnswersThatEndWithTheirConnectionIsQuarantined(long seed) {
        for (String body : List.of("id: 1\ndata: a\n\nid: 2\nda", FleetServers.WHOLE_STREAM)) {
            Traffic t = traffic(seed, STREAM, COMMON_FIRST);
            t.mFleet.mServers.endCrashingAnswersWithTheirConnection(body);
            t.sendBad(() -> List.of(COMMON_FIRST, BAD));
            t.mFleet.mTime.advance(RUN_MILLIS);
            t.assertOnlyBadIsKeptAway();
        }
    }

    // As above, after the head of an answer that belongs to another request.
    @ParameterizedTest
    @ValueSource(longs = {271, 272, 273, 274, 275})
    void partWithInvalidHeadsIsQuarantined(long seed) {
        for (Route route : ROUTES) {
            Traffic t = traffic(seed, route, COMMON_FIRST);
            t.mFleet.mServers.invalidateCrashingAnswers();
            t.sendBad(() -> List.of(COMMON_FIRST, BAD));
            t.mFleet.mTime.advance(RUN_MILLIS);
            t.assertOnlyBadIsKeptAway();
        }
    }

    // Guards against routers and control instances that start anew, or are cut off, and send the
    // part again.
    @ParameterizedTest
    @ValueSource(longs = {281, 282, 283, 284, 285})
    void quarantineOfAPartOutlivesControlAndRouters(long seed) {
        Traffic t = traffic(seed, STREAM, COMMON_FIRST);
        t.sendBad(() -> List.of(COMMON_FIRST, BAD));
        t.mFleet.mTime.advance(10_000);
        for (int i = 0; i < RoutedFleet.CONTROL_COUNT; i++) {
            t.mFleet.mControls.stop(i);
        }
        t.mFleet.mTime.advance(300);
        for (int i = 0; i < RoutedFleet.CONTROL_COUNT; i++) {
            t.mFleet.mControls.start(i);
        }
        t.mFleet.mTime.advance(5_000);
        t.mFleet.mTime.every(400, () -> randomRouter(t).restart());
        t.mFleet.mTime.advance(RUN_MILLIS);
        t.assertOnlyBadIsKeptAway();
    }

    // As above, where routers are cut off from control in turn.
    @ParameterizedTest
    @ValueSource(longs = {291, 292, 293, 294, 295})
    void partIsQuarantinedWhileRoutersAreCutOff(long seed) {
        Traffic t = traffic(seed, IDEMPOTENT, COMMON_FIRST);
        t.sendBad(() -> List.of(COMMON_FIRST, BAD));
        t.mFleet.mTime.every(
                4_000,
                () -> {
                    FleetRouter r = randomRouter(t);
                    r.setCutOff(true);
                    t.mFleet.mTime.after(1_500, () -> r.setCutOff(false));
                });
        t.mFleet.mTime.advance(RUN_MILLIS);
        t.assertOnlyBadIsKeptAway();
    }
}
