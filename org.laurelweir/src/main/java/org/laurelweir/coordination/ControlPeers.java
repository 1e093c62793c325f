package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * The other control instances. Configured ones are permanent. In a deployment where instances join
 * by themselves, others are discovered through any instance that knows them, and removed after they
 * have been silent for a time.
 */
final class ControlPeers {
    /**
     * Longer than a restart or a short partition, so that only instances that are gone for good are
     * removed.
     */
    private static final Duration SILENCE_TIMEOUT = Duration.ofMinutes(1);

    private final String mSelf;
    private final boolean mAutoJoin;
    private final Map<String, String> mAddresses;
    private final Set<String> mConfiguredPeers = new TreeSet<>();
    private final Map<String, Instant> mDiscoveredPeers = new HashMap<>();
    private final Consumer<String> mOnRemoved;

    ControlPeers(ControlConfig config, Consumer<String> onRemoved) {
        mSelf = config.name();
        mAutoJoin = config.autoJoin();
        mAddresses = config.addresses();
        mConfiguredPeers.addAll(config.addresses().keySet());
        mConfiguredPeers.remove(mSelf);
        mOnRemoved = onRemoved;
    }

    /**
     * Records that an instance was in contact, or that an instance in contact lists it as a member.
     */
    void discover(Instant now, String name) {
        if (mAutoJoin
                && !name.isEmpty()
                && !name.equals(mSelf)
                && !mConfiguredPeers.contains(name)) {
            mDiscoveredPeers.put(name, now);
        }
    }

    /** Returns the names of all peers, sorted. */
    List<String> all() {
        Set<String> all = new TreeSet<>(mConfiguredPeers);
        all.addAll(mDiscoveredPeers.keySet());
        return new ArrayList<>(all);
    }

    /** Returns the addresses (host:port) of all peers. */
    List<String> addresses() {
        return all().stream().map(n -> mAddresses.getOrDefault(n, n)).toList();
    }

    void removeSilent(Instant now) {
        Iterator<Map.Entry<String, Instant>> entries = mDiscoveredPeers.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<String, Instant> peer = entries.next();
            if (peer.getValue().plus(SILENCE_TIMEOUT).isBefore(now)) {
                entries.remove();
                mOnRemoved.accept(peer.getKey());
            }
        }
    }
}
