package org.laurelweir.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.direct.Prompt;
import org.laurelweir.direct.Route;
import org.laurelweir.direct.RoutedRequest;
import org.laurelweir.settings.RouteShare;

/** What becomes of a request that ends whichever backend server runs it. */
class CrashingRequestTest {
    /** Time in which all routers have to know. */
    private static final long KNOWN_AFTER_MILLIS = 3000;

    /** Ends after which a request counts as the cause. */
    private static final int ENDS = 3;

    /** Sends that the whole fleet may still make after that, as trials. */
    private static final int MOST_TRIALS = 3;

    private static final int ROUTERS = 9;
    private static final int SERVERS = 6;
    private static final int CRASHING_EVERY_MILLIS = 400;
    private static final int OTHERS_EVERY_MILLIS = 25;
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private static Route route(boolean idempotent, boolean streamed, boolean resumable) {
        return new Route(
                "r",
                "h",
                "/",
                List.of(new RouteShare(FleetServers.SERVICE, 1)),
                idempotent,
                streamed,
                resumable,
                false,
                2,
                TIMEOUT,
                Duration.ofMillis(400),
                Duration.ofMillis(400),
                5);
    }

    private static RoutedRequest request(String id, Route route, String body) {
        AttemptRequest.Call call =
                new AttemptRequest.Call(
                        "POST",
                        "/x/1",
                        List.of(),
                        body.getBytes(StandardCharsets.UTF_8),
                        route.streamed());
        return new RoutedRequest(id, route, "acme", 5, TIMEOUT, call, Prompt.NONE);
    }

    private static final class Fleet {
        private final VirtualTime mTime;
        private final FleetControls mControls;
        private final FleetServers mServers;
        private final List<FleetRouter> mRouters = new ArrayList<>();
        private int mAsked;

        Fleet(long seed) {
            mTime = new VirtualTime(seed);
            mControls = new FleetControls(mTime, 3);
            mServers = new FleetServers(mTime, mControls, SERVERS);
            for (int i = 0; i < ROUTERS; i++) {
                mRouters.add(new FleetRouter(mTime, mControls, mServers, i));
            }
            mTime.run(2000);
        }

        private void ask(Route route, String body) {
            FleetRouter router = mRouters.get(mTime.mRandom.nextInt(ROUTERS));
            router.ask(request("q" + ++mAsked, route, body), code -> {});
        }

        /** Sends of the crashing request from the time on at which all routers have to know. */
        private long lateSends() {
            List<Long> ends = mServers.crashes();
            assertThat(ends).hasSizeGreaterThanOrEqualTo(ENDS);
            long known = ends.get(ENDS - 1) + KNOWN_AFTER_MILLIS;
            return mServers.crashingArrivals().stream().filter(at -> at > known).count();
        }
    }

    // One request ended every server that ran it, for as long as it came, and each time cut all
    // others there.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void aRequestThatEndsServersIsSentNoMore(long seed) {
        for (Route route : List.of(route(true, false, false), route(false, true, false))) {
            Fleet fleet = new Fleet(seed);
            fleet.mTime.every(
                    CRASHING_EVERY_MILLIS, () -> fleet.ask(route, FleetServers.CRASHING_BODY));
            fleet.mTime.every(OTHERS_EVERY_MILLIS, () -> fleet.ask(route, "b" + fleet.mAsked));
            fleet.mTime.run(30_000);
            assertThat(fleet.lateSends()).as("%s", route).isLessThanOrEqualTo(MOST_TRIALS);
        }
    }
}
