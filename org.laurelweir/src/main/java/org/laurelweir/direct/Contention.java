package org.laurelweir.direct;

import java.util.HashMap;
import java.util.Map;
import org.laurelweir.settings.NodePath;
import org.laurelweir.settings.SettingKey;
import org.laurelweir.settings.SettingKeys;
import org.laurelweir.settings.SettingsNode;
import org.laurelweir.settings.SettingsTree;

/**
 * Says whether a deployment is contended: whether it has engines that run out of memory before they
 * run out of slots, so that requests compete for room.
 */
public final class Contention {
    /** A deployment without contention. */
    public static final Contention NONE = new Contention(false, Map.of());

    private final boolean mIsContended;
    private final Map<String, EngineCapacity> mEngines;

    private Contention(boolean isContended, Map<String, EngineCapacity> engines) {
        mIsContended = isContended;
        mEngines = Map.copyOf(engines);
    }

    /**
     * Reads the capacities of all services.
     *
     * @param slotTokens engines with fewer tokens of memory for each slot make a deployment
     *     contended; 0 if none do
     */
    public static Contention of(SettingsTree tree, int slotTokens) {
        if (slotTokens == 0) {
            return NONE;
        }
        Map<String, EngineCapacity> engines = new HashMap<>();
        for (String service : tree.services()) {
            tree.node(NodePath.ofService(service))
                    .map(Contention::capacity)
                    .filter(EngineCapacity::isPresent)
                    .ifPresent(c -> engines.put(service, c));
        }
        boolean isContended = engines.values().stream().anyMatch(c -> isContended(c, slotTokens));
        return isContended ? new Contention(true, engines) : NONE;
    }

    private static EngineCapacity capacity(SettingsNode node) {
        return new EngineCapacity(
                value(node, SettingKeys.SERVICE_SLOTS),
                value(node, SettingKeys.SERVICE_CACHE_TOKENS));
    }

    /** Returns the value that a service's own settings name, or 0. */
    private static int value(SettingsNode node, SettingKey<Integer> key) {
        Integer value = node.value(key);
        return value == null ? 0 : value;
    }

    /** A service that does not name its memory is no reason: the default says nothing about it. */
    private static boolean isContended(EngineCapacity c, int slotTokens) {
        return c.memoryTokens() > 0 && c.memoryTokens() < (long) c.slots() * slotTokens;
    }

    /** Returns whether requests of the deployment compete for room. */
    public boolean isContended() {
        return mIsContended;
    }

    /**
     * Returns the terms of a request.
     *
     * @param accountWeight weight of the client account's share
     * @param lengthHint number of tokens that the caller expects to be generated, or 0
     */
    public RequestTerms terms(double accountWeight, int lengthHint) {
        return mIsContended
                ? new RequestTerms(true, accountWeight, lengthHint, mEngines)
                : RequestTerms.NONE;
    }
}
