package org.laurelweir.direct;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * Bounds the load that the retries of all routers add to a service, without messages between the
 * routers. In each time window a router may retry a share of its own requests, and in addition its
 * part of a reserve for the whole fleet.
 *
 * <p>Without a budget a failing service receives every request several times, just when it has the
 * least capacity.
 */
final class FleetRetryBudget {
    private final RetryLimits mLimits;
    private final IntSupplier mRouterCount;
    private final Map<String, Window> mWindows = new HashMap<>();

    /**
     * Creates a budget without any request.
     *
     * @param limits limits of the retries of all routers
     * @param routerCount supplies the number of routers in the fleet, 1 if unknown
     */
    FleetRetryBudget(RetryLimits limits, IntSupplier routerCount) {
        mLimits = limits;
        mRouterCount = routerCount;
    }

    /** Records a request for a service. */
    void onRequest(String service, Instant now) {
        window(service, now).mRequests.add(now);
    }

    /** Uses up one retry of the budget; returns false if none is left. */
    boolean trySpend(String service, Instant now) {
        Window w = window(service, now);
        int routers = Math.max(mRouterCount.getAsInt(), mLimits.minRouters());
        double reserve = mLimits.fleetReserve() / routers;
        double allowed = mLimits.share() * w.mRequests.size() + reserve;
        if (w.mRetries.size() + 1 > mLimits.usableShare() * allowed) {
            return false;
        }
        w.mRetries.add(now);
        return true;
    }

    private Window window(String service, Instant now) {
        Window w = mWindows.computeIfAbsent(service, s -> new Window());
        Duration length = mLimits.window();
        removeBefore(w.mRequests, now.minus(length));
        removeBefore(w.mRetries, now.minus(length));
        return w;
    }

    private static void removeBefore(ArrayDeque<Instant> times, Instant start) {
        while (!times.isEmpty() && times.peek().isBefore(start)) {
            times.remove();
        }
    }

    /** Times of the requests and retries of a service within the last window. */
    private static final class Window {
        private final ArrayDeque<Instant> mRequests = new ArrayDeque<>();
        private final ArrayDeque<Instant> mRetries = new ArrayDeque<>();
    }
}
