package org.laurelweir.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.laurelweir.direct.Route;
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
            assertThat(lateSends()).as("late sends, %s", mRoute).isLessThanOrEqualTo(MAX_LATE_SENDS);
            assertThat(begunShare(false)).as("sound, %s", mRoute).isGreaterThan(MIN_BEGUN_SHARE);
            assertThat(begunShare(true)).as("rare, %s", mRoute).isGreaterThan(MIN_BEGUN_SHARE);
        }
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
    @Tag("known-red")
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
    @Tag("known-red")
    void firstPartIsQuarantinedAndSoundRequestsAreServed(long seed) {
        for (Route route : ROUTES) {
            Traffic t = traffic(seed, route, OTHER_FIRST);
            t.sendBad(() -> List.of(BAD, COMMON));
            t.mFleet.mTime.advance(RUN_MILLIS);
            t.assertOnlyBadIsKeptAway();
        }
    }
}
