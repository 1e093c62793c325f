package org.laurelweir.settings;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Resolved settings of one process by service and client account, for the hot path. Any thread may
 * look up while one thread hands in new trees. Results are kept until the tree changes.
 */
public final class SettingsLookup {
    /** Bounds the memory of a process that serves very many accounts between two changes. */
    private static final int MAX_RESOLVED = 8192;

    private final SettingsContext mProcess;
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
        mProcess = SettingsContext.of(region, dataCentre);
        setTree(SettingsTree.EMPTY);
    }

    /** Puts a tree in force; all that was resolved before is dropped. */
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
        if (resolved.byKey.size() >= MAX_RESOLVED) {
            resolved.byKey.clear();
        }
        return resolved.byKey.computeIfAbsent(
                new Key(service, account),
                k -> resolved.tree.effective(mProcess.with(k.service, k.account)));
    }
}
