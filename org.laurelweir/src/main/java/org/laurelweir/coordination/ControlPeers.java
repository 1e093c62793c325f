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
    private static final Duration FORGET_AFTER = Duration.ofMinutes(1);

    private final String mSelf;
    private final boolean mOpen;
    private final Map<String, String> mAddresses;
    private final Set<String> mNamed = new TreeSet<>();
    private final Map<String, Instant> mLearned = new HashMap<>();
    private final Consumer<String> mOnForgotten;

    ControlPeers(ControlConfig config, Consumer<String> onForgotten) {
        mSelf = config.name();
        mOpen = config.autoJoin();
        mAddresses = config.addresses();
        mNamed.addAll(config.addresses().keySet());
        mNamed.remove(mSelf);
        mOnForgotten = onForgotten;
    }

    /** Notes that an instance was heard, or that one that was heard counts it in. */
    void learn(Instant now, String name) {
        if (mOpen && !name.isEmpty() && !name.equals(mSelf) && !mNamed.contains(name)) {
            mLearned.put(name, now);
        }
    }

    /** Returns those to talk to, by name. */
    List<String> all() {
        Set<String> all = new TreeSet<>(mNamed);
        all.addAll(mLearned.keySet());
        return new ArrayList<>(all);
    }

    /** Returns where those to talk to are reached, host:port. */
    List<String> addresses() {
        return all().stream().map(n -> mAddresses.getOrDefault(n, n)).toList();
    }

    void forget(Instant now) {
        Iterator<Map.Entry<String, Instant>> each = mLearned.entrySet().iterator();
        while (each.hasNext()) {
            Map.Entry<String, Instant> e = each.next();
            if (e.getValue().plus(FORGET_AFTER).isBefore(now)) {
                each.remove();
                mOnForgotten.accept(e.getKey());
            }
        }
    }
}
