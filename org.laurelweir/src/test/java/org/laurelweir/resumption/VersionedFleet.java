package org.laurelweir.resumption;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.direct.Prompt;
import org.laurelweir.direct.Resumption;
import org.laurelweir.direct.Route;
import org.laurelweir.direct.RoutedRequest;
import org.laurelweir.fleet.FleetCaller;
import org.laurelweir.fleet.FleetControls;
import org.laurelweir.fleet.FleetRouter;
import org.laurelweir.fleet.VirtualTime;
import org.laurelweir.settings.RouteShare;

/** A fleet in virtual time: control instances, routers, servers of several versions, callers. */
final class VersionedFleet {
    private static final int ROUTER_COUNT = 7;
    private static final int CONTROL_COUNT = 4;
    private static final int SERVER_COUNT = 6;
    private static final int START_MILLIS = 2000;
    private static final int CALL_INTERVAL_MILLIS = 40;

    /** How long a router has to be undisturbed to be in touch. */
    private static final long IN_TOUCH_MILLIS = 3000;

    /** The least number of servers of a version at which its streams have to go on. */
    private static final int MIN_SERVERS = 2;

    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    final FleetControls mControls;
    final VersionedServers mServers;
    final List<FleetRouter> mRouters = new ArrayList<>();
    final List<StreamCaller> mCallers = new ArrayList<>();
    private final VirtualTime mTime;
    private final Map<FleetRouter, Long> mDisturbedUntil = new HashMap<>();
    private final Route mRoute;
    private long mControlDisturbedUntil;
    private int mRequests;
    private int mBegun;
    private int mNotBegun;

    /**
     * Creates a fleet with servers of version v1 that has run for some seconds.
     *
     * @param maxAttempts maximum number of attempts of a router for one request
     */
    VersionedFleet(long seed, int maxAttempts) {
        mTime = new VirtualTime(seed);
        mControls = new FleetControls(mTime, CONTROL_COUNT);
        mServers = new VersionedServers(mTime, mControls);
        mRoute = route(maxAttempts);
        for (int i = 0; i < SERVER_COUNT; i++) {
            mServers.start("v1");
        }
        for (int i = 0; i < ROUTER_COUNT; i++) {
            mRouters.add(new FleetRouter(mTime, mControls, mServers, i));
        }
        mTime.advance(START_MILLIS);
        mTime.every(CALL_INTERVAL_MILLIS, this::startCaller);
    }

    private static Route route(int maxAttempts) {
        return new Route(
                "r",
                "h",
                "/",
                List.of(new RouteShare(VersionedServers.SERVICE, 1)),
                false,
                true,
                true,
                false,
                maxAttempts,
                TIMEOUT,
                Duration.ofMillis(400),
                Duration.ofMillis(400),
                5);
    }

    VirtualTime time() {
        return mTime;
    }

    private void startCaller() {
        StreamCaller caller = new StreamCaller(this);
        mCallers.add(caller);
        caller.start();
    }

    FleetRouter randomRouter() {
        return mRouters.get(mTime.random().nextInt(ROUTER_COUNT));
    }

    String nextRequestId() {
        return "q" + ++mRequests;
    }

    void submit(FleetRouter router, String id, Resumption resumption, FleetCaller caller) {
        AttemptRequest.Call call =
                new AttemptRequest.Call("POST", "/x/" + id, List.of(), new byte[0], true);
        RoutedRequest request =
                new RoutedRequest(id, mRoute, "acme", 5, TIMEOUT, call, Prompt.NONE)
                        .withResumption(resumption);
        router.submitStream(request, caller);
    }

    /** Records that a router is not in touch until some time after now. */
    void disturb(FleetRouter router) {
        mDisturbedUntil.put(router, mTime.millis() + IN_TOUCH_MILLIS);
    }

    /** Records that control is not stable until some time after now. */
    void disturbControl() {
        mControlDisturbedUntil = mTime.millis() + IN_TOUCH_MILLIS;
    }

    /** Returns whether a stream of these versions has to go on at a router now. */
    boolean isCounted(FleetRouter router, Set<String> versions) {
        long now = mTime.millis();
        boolean isInTouch =
                now >= mDisturbedUntil.getOrDefault(router, 0L) && now >= mControlDisturbedUntil;
        return isInTouch
                && versions.size() == 1
                && mServers.servingCount(versions.iterator().next()) >= MIN_SERVERS;
    }

    void onBegun(boolean hasBegun) {
        if (hasBegun) {
            mBegun++;
        } else {
            mNotBegun++;
        }
    }

    long crossed() {
        return mCallers.stream().filter(StreamCaller::isCrossed).count();
    }

    long outOfOrder() {
        return mCallers.stream().filter(StreamCaller::isOutOfOrder).count();
    }

    /** Returns the share of streams that begin, of all that callers want. */
    double shareBegun() {
        return (double) mBegun / Math.max(1, mBegun + mNotBegun);
    }

    /** Returns the streams whose callers tried to go on at routers in touch, with servers left. */
    List<StreamCaller> counted() {
        return mCallers.stream().filter(StreamCaller::isCounted).toList();
    }

    /** Returns the share of those streams that go on. */
    double shareGoneOn() {
        List<StreamCaller> counted = counted();
        long wentOn = counted.stream().filter(StreamCaller::hasGoneOn).count();
        return (double) wentOn / Math.max(1, counted.size());
    }
}
