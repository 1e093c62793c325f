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
 * The other control instances. Those that the settings name stay; in an open deployment others are
 * learned from whoever knows them, and forgotten once nothing has been heard of them for long.
 */
final class ControlPeers {
    /** Long against a restart or a healed partition, short against a machine gone for good. */
    private static final Duration SILENCE_TIMEOUT = Duration.ofMinutes(1);

    private final String mSelf;
    private final boolean mAutoJoin;
    private final Map<String, String> mAddresses;
    private final Set<String> mConfiguredPeers = new TreeSet<>();
    private final Map<String, Instant> mDiscoveredPeers = new HashMap<>();
    private final Consumer<String> mOnRemoved;

    ControlPeers(ControlConfig config, Consumer<String> onForgotten) {
        mSelf = config.name();
        mAutoJoin = config.autoJoin();
        mAddresses = config.addresses();
        mConfiguredPeers.addAll(config.addresses().keySet());
        mConfiguredPeers.remove(mSelf);
        mOnRemoved = onForgotten;
    }

    /** Notes that an instance was heard, or that one that was heard counts it in. */
    void discover(Instant now, String name) {
        if (mAutoJoin
                && !name.isEmpty()
                && !name.equals(mSelf)
                && !mConfiguredPeers.contains(name)) {
            mDiscoveredPeers.put(name, now);
        }
    }

    /** Returns those to talk to, by name. */
    List<String> all() {
        Set<String> all = new TreeSet<>(mConfiguredPeers);
        all.addAll(mDiscoveredPeers.keySet());
        return new ArrayList<>(all);
    }

    /** Returns where those to talk to are reached, host:port. */
    List<String> addresses() {
        return all().stream().map(n -> mAddresses.getOrDefault(n, n)).toList();
    }

    void removeSilent(Instant now) {
        Iterator<Map.Entry<String, Instant>> each = mDiscoveredPeers.entrySet().iterator();
        while (each.hasNext()) {
            Map.Entry<String, Instant> e = each.next();
            if (e.getValue().plus(SILENCE_TIMEOUT).isBefore(now)) {
                each.remove();
                mOnRemoved.accept(e.getKey());
            }
        }
    }
}
