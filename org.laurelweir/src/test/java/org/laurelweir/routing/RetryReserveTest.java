package org.laurelweir.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.laurelweir.direct.DirectEffect.BeginCall;
import org.laurelweir.direct.DirectEvent;
import org.laurelweir.direct.Prompt;
import org.laurelweir.direct.RetryLimits;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipCursor;

/**
 * Tests a router's part of the retries that all routers may add, as the number of routers changes.
 */
class RetryReserveTest {
    private static final int ROUTERS = 6;
    private static final int FAILING_REQUESTS = 40;

    /** One retry for each router, however many requests they have. */
    private static final RetryLimits LIMITS =
            new RetryLimits(0, ROUTERS, Duration.ofSeconds(10), 1, 1);

    private final List<BeginCall> mCalls = new ArrayList<>();
    private final RoutedRequestDriver mRouter =
            new RoutedRequestDriver(
                    new RouterConfig("r", 1, 1, Duration.ofSeconds(1), 16, LIMITS), mCalls::add);

    private void receiveRouterCount(int routers) {
        List<Backend> backends =
                IntStream.range(0, 4)
                        .mapToObj(i -> RoutedRequestDriver.backend("s" + i, 0, 1))
                        .toList();
        mRouter.receive(new MembershipCursor("c", 1, 1), true, routers, backends);
    }

    /** Returns how many of the requests, which fail at their first server, are sent again. */
    private int retriesOfFailingRequests() {
        mCalls.clear();
        for (int i = 1; i <= FAILING_REQUESTS; i++) {
            mRouter.step(
                    new DirectEvent.RequestArrived(
                            i, RoutedRequestDriver.request(i, true, Prompt.NONE)));
            mRouter.loseConnection(mCalls.get(mCalls.size() - 1));
        }
        return mCalls.size() - FAILING_REQUESTS;
    }

    // Guards against routers that each take the whole reserve because a control instance has just
    // started and has heard few of them.
    @Test
    void lowerCountOfAStartedControlInstanceDoesNotWidenTheReserve() {
        receiveRouterCount(ROUTERS);
        mRouter.advance(Duration.ofSeconds(1));
        receiveRouterCount(1);
        assertThat(retriesOfFailingRequests()).isEqualTo(1);
    }

    @Test
    void reserveGrowsOnceTheLowerCountHasLasted() {
        receiveRouterCount(ROUTERS);
        mRouter.advance(RouterCount.DECREASE_DELAY);
        receiveRouterCount(1);
        assertThat(retriesOfFailingRequests()).isEqualTo(ROUTERS);
    }
}
