package org.laurelweir.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** How far the other control instances are known here, what they carry, and who is silent. */
final class PeerTable {
    private final PauseTolerantClock mTime;
    private final MembershipConfig mConfig;
    private final Map<String, Peer> mPeers = new TreeMap<>();

    PeerTable(PauseTolerantClock time, MembershipConfig config, Collection<String> names) {
        mTime = time;
        mConfig = config;
        names.forEach(n -> mPeers.put(n, new Peer()));
    }

    MembershipCursor cursor(String peer) {
        Peer p = mPeers.get(peer);
        return p == null ? MembershipCursor.NONE : p.mCursor;
    }

    void answered(String peer, PeerUpdate share) {
        Peer p = mPeers.computeIfAbsent(peer, n -> new Peer());
        p.mCursor = share.cursor();
        p.mAnswered = mTime.seen();
        p.mGivenUp = false;
        p.mSums.clear();
        share.sums().forEach(s -> p.mSums.put(s.service(), s));
    }

    void forget(String peer) {
        mPeers.remove(peer);
    }

    /** Adds what the peers that answer hear of a service to a sum. */
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

    /** Returns the services that peers which answer hear. */
    List<String> services() {
        List<String> services = new ArrayList<>();
        for (Peer p : mPeers.values()) {
            if (isAnswering(p)) {
                services.addAll(p.mSums.keySet());
            }
        }
        return services;
    }

    /** Returns whether most control instances, this one included, answer. */
    boolean hasMajority() {
        long answering = mPeers.values().stream().filter(this::isAnswering).count();
        return (answering + 1) * 2 > mPeers.size() + 1;
    }

    /** Returns the peers that have become silent for so long that they are given up, each once. */
    List<String> giveUp() {
        List<String> gone = new ArrayList<>();
        Duration latest = mTime.seen().minus(mConfig.orphanAfter());
        mPeers.forEach(
                (name, p) -> {
                    if (!p.mGivenUp && p.mAnswered.compareTo(latest) < 0) {
                        p.mGivenUp = true;
                        gone.add(name);
                    }
                });
        return gone;
    }

    private boolean isAnswering(Peer p) {
        return !p.mCursor.equals(MembershipCursor.NONE)
                && p.mAnswered.plus(mConfig.peerSilence()).compareTo(mTime.seen()) >= 0;
    }

    /** One other control instance. */
    private static final class Peer {
        private final Map<String, ServiceSum> mSums = new HashMap<>();
        private MembershipCursor mCursor = MembershipCursor.NONE;
        private Duration mAnswered = Duration.ZERO;
        private boolean mGivenUp;
    }
}
