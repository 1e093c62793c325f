package org.laurelweir.direct;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * Bounds how much load the retries of all routers add to a service, without a message between them:
 * each router may repeat a share of its own requests of the last window, and its part of what the
 * whole fleet may repeat beyond that.
 *
 * <p>Without it a failing service gets every request several times, just when it can take least.
 */
final class FleetRetryBudget {
    private final RetryLimits mLimits;
    private final IntSupplier mRouterCount;
    private final Map<String, Window> mWindows = new HashMap<>();

    /**
     * Creates a budget.
     *
     * @param limits what the fleet may repeat
     * @param routers how many routers serve, 0 if not known
     */
    FleetRetryBudget(RetryLimits limits, IntSupplier routers) {
        mLimits = limits;
        mRouterCount = routers;
    }

    /** Notes a request for a service. */
    void onRequest(String service, Instant now) {
        window(service, now).mRequests.add(now);
    }

    /** Takes one repetition out of the budget, if it holds one. */
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
        Duration span = mLimits.window();
        removeBefore(w.mRequests, now.minus(span));
        removeBefore(w.mRetries, now.minus(span));
        return w;
    }

    private static void removeBefore(ArrayDeque<Instant> times, Instant before) {
        while (!times.isEmpty() && times.peek().isBefore(before)) {
            times.remove();
        }
    }

    private static final class Window {
        private final ArrayDeque<Instant> mRequests = new ArrayDeque<>();
        private final ArrayDeque<Instant> mRetries = new ArrayDeque<>();
    }
}
