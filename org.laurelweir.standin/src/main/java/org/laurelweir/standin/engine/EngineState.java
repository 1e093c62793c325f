package org.laurelweir.standin.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;

/** The models and adapters that the engine has loaded, and its role. Orders change them. */
final class EngineState {
    /**
     * The JSON form of the state.
     *
     * @param fence the highest fencing token received
     * @param orders the orders that were applied, oldest first
     */
    record StateAnswer(
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
     * Creates the initial state.
     *
     * @param settings what is loaded at the start, and how orders are applied
     * @param now the time of the start
     */
    EngineState(EngineSettings settings, Instant now) {
        mCheckFence = settings.orders().checkFence();
        mLoadTime = settings.orders().loadTime();
        mRole = settings.role();
        settings.models().forEach(m -> mModels.put(m, now));
        settings.adapters().forEach(a -> mAdapters.put(a, now));
    }

    /**
     * Applies an order.
     *
     * @throws LaurelweirException with {@code STALE_FENCE} if a higher fencing token was received
     *     before and this engine checks them; with {@code BAD_REQUEST} if the kind or the name is
     *     missing
     */
    void apply(Instant now, EngineOrder order) {
        if (order.kind() == null || order.name() == null) {
            throw new LaurelweirException(
                    ResultCode.BAD_REQUEST, "an order needs a kind and a name: " + order);
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

    /** Returns whether a model or adapter has finished loading. */
    boolean isReady(Instant now, String name) {
        return readyNames(now, mModels).contains(name) || readyNames(now, mAdapters).contains(name);
    }

    /**
     * Returns the state at a time; it lists only models and adapters that have finished loading.
     */
    StateAnswer read(Instant now) {
        return new StateAnswer(
                mRole,
                readyNames(now, mModels),
                readyNames(now, mAdapters),
                mFence,
                List.copyOf(mOrders));
    }

    private static List<String> readyNames(Instant now, Map<String, Instant> since) {
        return since.entrySet().stream()
                .filter(e -> !e.getValue().isAfter(now))
                .map(Map.Entry::getKey)
                .toList();
    }
}
