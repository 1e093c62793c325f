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
import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.ReplicaId;

/**
 * The other control instances. Configured ones are always asked. In a deployment where instances
 * join by themselves, others are discovered through any instance that knows them. There an instance
 * counts as gone after it has been silent for a time, unless the log still has it as a member: a
 * discovered one is then no longer asked, and a configured one, which may have been replaced at
 * another address, is still asked but no longer counted.
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

    /** The configured peers that have never been in contact and still count. */
    private final Set<String> mUnheardPeers = new TreeSet<>();

    private final Map<String, Instant> mLastHeard = new HashMap<>();
    private final Consumer<String> mOnMember;
    private final Consumer<String> mOnRemoved;

    /**
     * Creates the peers that the configuration names.
     *
     * @param onMember receives the names of the peers that the log has as members, repeatedly; they
     *     count even if they have never answered
     * @param onRemoved receives the name of each peer that no longer counts; it counts again once
     *     it answers
     */
    ControlPeers(ControlConfig config, Consumer<String> onMember, Consumer<String> onRemoved) {
        mSelf = config.name();
        mAutoJoin = config.autoJoin();
        mAddresses = config.addresses();
        mConfiguredPeers.addAll(config.addresses().keySet());
        mConfiguredPeers.remove(mSelf);
        mUnheardPeers.addAll(mConfiguredPeers);
        mOnMember = onMember;
        mOnRemoved = onRemoved;
    }

    /**
     * Records that an instance was in contact, or that an instance in contact lists it as a member.
     */
    void discover(Instant now, String name) {
        if (mAutoJoin && !name.isEmpty() && !name.equals(mSelf)) {
            mLastHeard.put(name, now);
            mUnheardPeers.remove(name);
        }
    }

    /** Returns the names of all peers that are asked, sorted. */
    List<String> all() {
        Set<String> all = new TreeSet<>(mConfiguredPeers);
        all.addAll(mLastHeard.keySet());
        return new ArrayList<>(all);
    }

    /** Returns the addresses (host:port) of all peers. */
    List<String> addresses() {
        return all().stream().map(n -> mAddresses.getOrDefault(n, n)).toList();
    }

    /**
     * Returns the addresses (host:port) of the peers that were in contact, or members of the log,
     * after a time. Configured peers that can't be told apart by that are always included.
     */
    List<String> addressesHeardSince(Instant time) {
        return all().stream()
                .filter(n -> !mAutoJoin || wasHeardSince(n, time))
                .map(n -> mAddresses.getOrDefault(n, n))
                .toList();
    }

    private boolean wasHeardSince(String name, Instant time) {
        Instant lastHeard = mLastHeard.get(name);
        return lastHeard != null && !lastHeard.isBefore(time);
    }

    /**
     * Removes the peers that have been silent for a time and that the log does not have as members.
     * An instance that does not know the members yet removes none, since it can't tell whether the
     * others are gone or it is cut off itself.
     */
    void removeSilent(Instant now, Membership members) {
        if (!mAutoJoin || members.all().isEmpty()) {
            return;
        }
        members.all().stream()
                .map(ReplicaId::name)
                .filter(n -> !n.equals(mSelf))
                .forEach(n -> keepMember(now, n));
        mUnheardPeers.forEach(mOnRemoved);
        mUnheardPeers.clear();
        Iterator<Map.Entry<String, Instant>> entries = mLastHeard.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<String, Instant> peer = entries.next();
            if (peer.getValue().plus(SILENCE_TIMEOUT).isBefore(now)) {
                entries.remove();
                mOnRemoved.accept(peer.getKey());
            }
        }
    }

    private void keepMember(Instant now, String name) {
        discover(now, name);
        mOnMember.accept(name);
    }
}
