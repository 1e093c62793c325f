package org.laurelweir.settings;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A cache of one process's effective settings by service and client account, for the hot path. Any
 * thread may read while one thread sets new trees. Results are cached until the tree changes.
 */
public final class SettingsLookup {
    /** Limits the memory of a process that serves many client accounts between two changes. */
    private static final int MAX_CACHED = 8192;

    private final SettingsContext mProcessContext;
    private volatile Resolved mResolved;

    private record Key(String service, String account) {}

    private record Resolved(SettingsTree tree, Map<Key, EffectiveSettings> byKey) {}

    /**
     * Creates a lookup over an empty tree.
     *
     * @param region the region of the process, or null
     * @param dataCentre its data centre, or null
     */
    public SettingsLookup(String region, String dataCentre) {
        mProcessContext = SettingsContext.of(region, dataCentre);
        setTree(SettingsTree.EMPTY);
    }

    /** Sets the tree in force and clears the cache. */
    public void setTree(SettingsTree tree) {
        mResolved = new Resolved(tree, new ConcurrentHashMap<>());
    }

    /** Returns the tree in force. */
    public SettingsTree tree() {
        return mResolved.tree;
    }

    /**
     * Returns the settings for a service and a client account.
     *
     * @param service the service, or null
     * @param account the client account, or null
     */
    public EffectiveSettings effective(String service, String account) {
        Resolved resolved = mResolved;
        if (resolved.byKey.size() >= MAX_CACHED) {
            resolved.byKey.clear();
        }
        return resolved.byKey.computeIfAbsent(
                new Key(service, account),
                k -> resolved.tree.effective(mProcessContext.with(k.service, k.account)));
    }
}
