package org.laurelweir.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The other control instances: their cursors, their load sums, and when they last answered. */
final class PeerTable {
    private final PauseTolerantClock mClock;
    private final MembershipConfig mConfig;
    private final Map<String, Peer> mPeers = new TreeMap<>();

    PeerTable(PauseTolerantClock clock, MembershipConfig config, Collection<String> names) {
        mClock = clock;
        mConfig = config;
        names.forEach(n -> mPeers.put(n, new Peer()));
    }

    /** Returns the cursor up to which a peer's changes were received. */
    MembershipCursor cursor(String peer) {
        Peer p = mPeers.get(peer);
        return p == null ? MembershipCursor.NONE : p.mCursor;
    }

    void recordAnswer(String peer, PeerUpdate update) {
        Peer p = mPeers.computeIfAbsent(peer, n -> new Peer());
        p.mCursor = update.cursor();
        p.mLastAnswer = mClock.elapsed();
        p.mIsLost = false;
        p.mSums.clear();
        update.sums().forEach(s -> p.mSums.put(s.service(), s));
    }

    /** Adds a peer if it is not known. It counts as lost only after the orphan timeout from now. */
    void addPeer(String peer) {
        if (!mPeers.containsKey(peer)) {
            Peer p = new Peer();
            p.mLastAnswer = mClock.elapsed();
            mPeers.put(peer, p);
        }
    }

    void removePeer(String peer) {
        mPeers.remove(peer);
    }

    /** Adds the load sums of the peers that answer to this instance's sum of a service. */
    ServiceSum addTo(ServiceSum own) {
        ServiceSum sum = own;
        for (Peer p : mPeers.values()) {
            ServiceSum s = p.mSums.get(own.service());
            if (s != null && isAnswering(p)) {
                sum = sum.plus(s);
            }
        }
        return sum;
    }

    /** Returns the services in the load sums of the peers that answer. */
    List<String> services() {
        List<String> services = new ArrayList<>();
        for (Peer p : mPeers.values()) {
            if (isAnswering(p)) {
                services.addAll(p.mSums.keySet());
            }
        }
        return services;
    }

    /** Returns whether a majority of the control instances, this one included, answers. */
    boolean hasMajority() {
        long answering = mPeers.values().stream().filter(this::isAnswering).count();
        return (answering + 1) * 2 > mPeers.size() + 1;
    }

    /**
     * Marks the peers that have not answered within the orphan timeout as lost.
     *
     * @return the names of the peers that this call marked
     */
    List<String> markLost() {
        List<String> lost = new ArrayList<>();
        Duration earliestAllowed = mClock.elapsed().minus(mConfig.orphanTimeout());
        mPeers.forEach(
                (name, p) -> {
                    if (!p.mIsLost && p.mLastAnswer.compareTo(earliestAllowed) < 0) {
                        p.mIsLost = true;
                        lost.add(name);
                    }
                });
        return lost;
    }

    private boolean isAnswering(Peer p) {
        return !p.mCursor.equals(MembershipCursor.NONE)
                && p.mLastAnswer.plus(mConfig.peerTimeout()).compareTo(mClock.elapsed()) >= 0;
    }

    /** One other control instance. */
    private static final class Peer {
        private final Map<String, ServiceSum> mSums = new HashMap<>();
        private MembershipCursor mCursor = MembershipCursor.NONE;
        private Duration mLastAnswer = Duration.ZERO;
        private boolean mIsLost;
    }
}
