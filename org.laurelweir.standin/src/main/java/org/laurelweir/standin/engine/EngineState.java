package org.laurelweir.standin.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;

/** What the engine has loaded and which role it plays, as orders change them. */
final class OrderBook {
    /**
     * The state that orders lead to.
     *
     * @param fence the highest fencing number met
     * @param orders the orders that were carried out, oldest first
     */
    record Loaded(
            String role,
            List<String> models,
            List<String> adapters,
            long fence,
            List<EngineOrder> orders) {}

    private final boolean mCheckFence;
    private final Duration mLoadTime;
    private final Map<String, Instant> mModels = new LinkedHashMap<>();
    private final Map<String, Instant> mAdapters = new LinkedHashMap<>();
    private final List<EngineOrder> mOrders = new ArrayList<>();
    private String mRole;
    private long mFence;

    /**
     * Creates the state at the start.
     *
     * @param settings what is loaded at the start, and how orders are carried out
     * @param now the time of the start
     */
    OrderBook(EngineSettings settings, Instant now) {
        mCheckFence = settings.orders().checkFence();
        mLoadTime = settings.orders().loadTime();
        mRole = settings.role();
        settings.models().forEach(m -> mModels.put(m, now));
        settings.adapters().forEach(a -> mAdapters.put(a, now));
    }

    /**
     * Carries out an order.
     *
     * @throws LaurelweirException with {@code STALE_FENCE} if a higher fencing number was met
     *     before and this engine checks them; with {@code BAD_REQUEST} if the order lacks its kind
     *     or name
     */
    void apply(Instant now, EngineOrder order) {
        if (order.kind() == null || order.name() == null) {
            throw new LaurelweirException(ResultCode.BAD_REQUEST, "not an order: " + order);
        }
        if (mCheckFence && order.fence() < mFence) {
            throw new LaurelweirException(
                    ResultCode.STALE_FENCE, order.fence() + " is older than " + mFence);
        }
        mFence = Math.max(mFence, order.fence());
        Instant ready = now.plus(mLoadTime);
        switch (order.kind()) {
            case LOAD_MODEL -> mModels.putIfAbsent(order.name(), ready);
            case UNLOAD_MODEL -> mModels.remove(order.name());
            case LOAD_ADAPTER -> mAdapters.putIfAbsent(order.name(), ready);
            case UNLOAD_ADAPTER -> mAdapters.remove(order.name());
            case SET_ROLE -> mRole = order.name();
            default -> throw new IllegalStateException(order.toString());
        }
        mOrders.add(order);
    }

    /** Returns whether a model or adapter is ready. */
    boolean isReady(Instant now, String name) {
        return ready(now, mModels).contains(name) || ready(now, mAdapters).contains(name);
    }

    /** Returns the state of now. */
    Loaded read(Instant now) {
        return new Loaded(
                mRole, ready(now, mModels), ready(now, mAdapters), mFence, List.copyOf(mOrders));
    }

    private static List<String> ready(Instant now, Map<String, Instant> since) {
        return since.entrySet().stream()
                .filter(e -> !e.getValue().isAfter(now))
                .map(Map.Entry::getKey)
                .toList();
    }
}
