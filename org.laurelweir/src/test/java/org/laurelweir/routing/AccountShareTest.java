package org.laurelweir.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.lifecycle.BeforeTry;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.load.LoadDigest;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.MembershipDelta;
import org.laurelweir.membership.PlacementRules;
import org.laurelweir.placement.OutlierConfig;
import org.laurelweir.quarantine.CrashDelta;

/**
 * Tests the limits of one client account, which several routers enforce without exchanging
 * messages.
 */
class AccountShareTest {
    private static final MembershipDelta ONE_BACKEND =
            new MembershipDelta(
                    new MembershipCursor("c", 1, 1),
                    true,
                    List.of(
                            new Backend(
                                    new BackendRef("s", 1),
                                    "svc",
                                    "dc",
                                    "rg",
                                    "s",
                                    Backend.State.SERVING,
                                    1,
                                    1)));

    private final List<Router> mRouters = new ArrayList<>();
    private Instant mNow = Instant.EPOCH;
    private long mCallers;

    @BeforeTry
    void reset() {
        mRouters.clear();
        mNow = Instant.EPOCH;
    }

    // Guards against more running requests than 1.25 times the limit plus one per router, once all
    // routers know the router count. Routers join one by one and learn the count late. Requests
    // arrive at any router and end at any time. Each router enforces its share according to the
    // count that it received last.
    @Property(seed = "11", tries = 300, shrinking = ShrinkingMode.OFF)
    void runningRequestsStayUnderTheLimitOnceAllRoutersKnowTheCount(
            @ForAll long seed,
            @ForAll @IntRange(min = 2, max = 12) int routers,
            @ForAll @IntRange(max = 200) int limit) {
        SplittableRandom random = new SplittableRandom(seed);
        RequestPolicy policy = policy(limit, 1_000_000);
        for (int i = 1; i <= routers; i++) {
            Router router = new Router(i);
            mRouters.add(router);
            router.receiveRouterCount(i);
            startAndCancelRandomly(random, policy, 50);
        }
        // Requests that started under an older, larger share finish; they are never cut off.
        mRouters.forEach(r -> r.receiveRouterCount(routers));
        mRouters.forEach(Router::cancelAll);
        for (int i = 0; i < 20; i++) {
            startAndCancelRandomly(random, policy, 50);
            assertThat(runningRequests()).isLessThanOrEqualTo((int) (limit * 1.25) + routers);
        }
        mRouters.forEach(r -> r.startRequests(policy, 3 * limit));
        assertThat(runningRequests()).isGreaterThanOrEqualTo(limit);
    }

    // Guards against more starts than 1.25 times the rate allows. From an idle start, each router
    // may also start its burst at once.
    @Property(seed = "12", tries = 300, shrinking = ShrinkingMode.OFF)
    void startsStayUnderTheRateOnceAllRoutersKnowTheCount(
            @ForAll long seed,
            @ForAll @IntRange(min = 2, max = 12) int routers,
            @ForAll @IntRange(min = 1, max = 100) int rate) {
        SplittableRandom random = new SplittableRandom(seed);
        RequestPolicy policy = policy(1_000_000, rate);
        for (int i = 0; i < routers; i++) {
            mRouters.add(new Router(i));
            mRouters.get(i).receiveRouterCount(routers);
        }
        double burst = Math.max(routers, 1.25 * rate);
        for (int i = 0; i < 200; i++) {
            mNow = mNow.plusMillis(random.nextInt(100));
            mRouters.get(random.nextInt(routers)).startRequests(policy, random.nextInt(10));
            double seconds = mNow.toEpochMilli() / 1e3;
            assertThat((double) runningRequests())
                    .isLessThanOrEqualTo(burst + 1.25 * rate * seconds + 0.1);
        }
    }

    // Guards against a surge of requests after a control instance restarts. The instance first
    // reports only the one router that it knows so far, then all of them. The router applies a
    // lower count only after it received no higher count for half a minute.
    @Example
    void lowCountOfRestartedControlInstanceDoesNotRaiseShares() {
        Router r = new Router(1);
        mRouters.add(r);
        r.receiveRouterCount(10);
        r.receiveRouterCount(1);
        r.startRequests(policy(80, 1_000_000), 80);
        assertThat(runningRequests()).isEqualTo(10);
        mNow = mNow.plus(RouterCount.DECREASE_DELAY);
        r.receiveRouterCount(1);
        r.startRequests(policy(80, 1_000_000), 80);
        assertThat(runningRequests()).isEqualTo(80);
    }

    private void startAndCancelRandomly(SplittableRandom random, RequestPolicy policy, int steps) {
        for (int i = 0; i < steps; i++) {
            Router r = mRouters.get(random.nextInt(mRouters.size()));
            if (random.nextInt(3) > 0) {
                r.startRequests(policy, random.nextInt(20));
            } else {
                r.cancelOne();
            }
        }
    }

    private int runningRequests() {
        return mRouters.stream().mapToInt(r -> r.mRunning.size()).sum();
    }

    private static RequestPolicy policy(int maxRunning, double rate) {
        return RequestPolicies.withAccountLimits(RequestPolicy.DEFAULT, maxRunning, rate);
    }

    private final class Router {
        private final RouterReducer mReducer;
        private final ArrayDeque<Long> mRunning = new ArrayDeque<>();
        private final Set<Long> mRefused = new HashSet<>();

        Router(int number) {
            mReducer =
                    new RouterReducer(
                            new RouterConfig("r" + number, 1, number, Duration.ofSeconds(1), 16));
        }

        void receiveRouterCount(int routers) {
            step(
                    new RouterEvent.ExchangeAnswered(
                            ONE_BACKEND,
                            CrashDelta.NONE,
                            LoadDigest.NONE,
                            List.of(),
                            routers,
                            PlacementRules.NONE));
        }

        void startRequests(RequestPolicy policy, int requests) {
            for (int i = 0; i < requests; i++) {
                long caller = ++mCallers;
                step(new RouterEvent.RequestArrived(caller, request(policy)));
                if (!mRefused.contains(caller)) {
                    mRunning.add(caller);
                }
            }
        }

        void cancelOne() {
            if (!mRunning.isEmpty()) {
                step(new RouterEvent.CallerGone(mRunning.poll()));
            }
        }

        void cancelAll() {
            while (!mRunning.isEmpty()) {
                cancelOne();
            }
        }

        private void step(RouterEvent event) {
            mReducer.step(mNow, event, this::onEffect);
        }

        private void onEffect(RouterEffect effect) {
            if (effect instanceof RouterEffect.AnswerError e) {
                mRefused.add(e.caller());
            }
        }
    }

    private static CallerRequest request(RequestPolicy policy) {
        return new CallerRequest(
                "account",
                "svc",
                1,
                false,
                new AttemptRequest.Call("POST", "/x", List.of(), new byte[0], false),
                true,
                "",
                Duration.ofHours(1),
                5,
                new AttemptRequest.Cost(1, 1),
                policy,
                OutlierConfig.DEFAULT);
    }
}
