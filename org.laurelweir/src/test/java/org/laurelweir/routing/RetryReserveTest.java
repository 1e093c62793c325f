package org.laurelweir.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.direct.DirectEffect.BeginCall;
import org.laurelweir.direct.DirectEvent;
import org.laurelweir.direct.Prompt;
import org.laurelweir.direct.RetryLimits;
import org.laurelweir.direct.Route;
import org.laurelweir.direct.RoutedRequest;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.load.LoadDigest;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.MembershipDelta;
import org.laurelweir.membership.PlacementRules;
import org.laurelweir.quarantine.CrashDelta;
import org.laurelweir.settings.RouteShare;

/**
 * Tests a router's part of the retries that all routers may add, as the number of routers changes.
 */
class RetryReserveTest {
    private static final String SERVICE = "svc";
    private static final int ROUTERS = 6;
    private static final int FAILING_REQUESTS = 40;

    /** One retry for each router, however many requests they have. */
    private static final RetryLimits LIMITS =
            new RetryLimits(0, ROUTERS, Duration.ofSeconds(10), 1, 1);

    private final RouterReducer mRouter =
            new RouterReducer(new RouterConfig("r", 1, 1, Duration.ofSeconds(1), 16, LIMITS));
    private final List<BeginCall> mCalls = new ArrayList<>();
    private Instant mNow = Instant.EPOCH;

    private static MembershipDelta backends() {
        List<Backend> backends =
                IntStream.range(0, 4)
                        .mapToObj(
                                i ->
                                        new Backend(
                                                new BackendRef("s" + i, 0),
                                                SERVICE,
                                                "dc",
                                                "rg",
                                                "s" + i + ":80",
                                                Backend.State.SERVING,
                                                6,
                                                1))
                        .toList();
        return new MembershipDelta(new MembershipCursor("c", 1, 1), true, backends);
    }

    private static RoutedRequest request(int number) {
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        List.of(new RouteShare(SERVICE, 1)),
                        true,
                        false,
                        false,
                        false,
                        3,
                        Duration.ofSeconds(1),
                        Duration.ofMillis(100),
                        Duration.ofMillis(100),
                        5);
        byte[] body = {(byte) number};
        AttemptRequest.Call call = new AttemptRequest.Call("POST", "/x", List.of(), body, false);
        return new RoutedRequest(
                "id" + number, route, "acc", 5, Duration.ofSeconds(1), call, Prompt.NONE);
    }

    private void step(RouterEvent event) {
        mRouter.step(
                mNow,
                event,
                e -> {
                    if (e instanceof RouterEffect.Direct d && d.effect() instanceof BeginCall c) {
                        mCalls.add(c);
                    }
                });
    }

    private void receiveRouterCount(int routers) {
        step(
                new RouterEvent.ExchangeAnswered(
                        backends(),
                        CrashDelta.NONE,
                        LoadDigest.NONE,
                        List.of(),
                        routers,
                        PlacementRules.NONE));
    }

    /** Returns how many of the requests, which fail at their first server, are sent again. */
    private int retriesOfFailingRequests() {
        mCalls.clear();
        for (int i = 1; i <= FAILING_REQUESTS; i++) {
            step(new RouterEvent.Direct(new DirectEvent.RequestArrived(i, request(i))));
            long call = mCalls.get(mCalls.size() - 1).call();
            step(
                    new RouterEvent.Direct(
                            new DirectEvent.Failed(
                                    call, DirectEvent.Failure.CONNECTION_LOST, "reset")));
        }
        return mCalls.size() - FAILING_REQUESTS;
    }

    // Guards against routers that each take the whole reserve because a control instance has just
    // started and has heard few of them.
    @Test
    void lowerCountOfAStartedControlInstanceDoesNotWidenTheReserve() {
        receiveRouterCount(ROUTERS);
        mNow = mNow.plusSeconds(1);
        receiveRouterCount(1);
        assertThat(retriesOfFailingRequests()).isEqualTo(1);
    }

    @Test
    void reserveGrowsOnceTheLowerCountHasLasted() {
        receiveRouterCount(ROUTERS);
        mNow = mNow.plus(RouterCount.DECREASE_DELAY);
        receiveRouterCount(1);
        assertThat(retriesOfFailingRequests()).isEqualTo(ROUTERS);
    }
}
