package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.laurelweir.coordination.ControlEffect.AnnounceToPeers;
import org.laurelweir.coordination.ControlEffect.AnswerPeerUpdate;
import org.laurelweir.coordination.ControlEffect.RequestPeerUpdate;
import org.laurelweir.coordination.ControlEvent.PeerUpdateReceived;
import org.laurelweir.coordination.ControlEvent.PeerUpdateRequested;
import org.laurelweir.load.PeerLoads;
import org.laurelweir.membership.Announcement;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.SharedMembership;
import org.laurelweir.quarantine.CrashRecord;

/** Exchanges with the other control instances what each of them hears. */
final class PeerSharing {
    private static final int ROUTERS_EVERY = 10;

    private final ControlConfig mConfig;
    private final SharedMembership mMembership;
    private final LogReplica mReplica;
    private final RouterTable mRouters;
    private final PeerPresences mPresences;
    private final ControlPeers mPeers;
    private final CrashSharing mCrashes;
    private final LoadSharing mLoads;
    private final List<Announcement> mUrgent = new ArrayList<>();
    private Instant mNextRound = Instant.MIN;
    private int mRound;

    PeerSharing(
            ControlConfig config,
            SharedMembership membership,
            LogReplica replica,
            RouterTable routers,
            PeerPresences presences,
            ControlPeers peers,
            CrashSharing crashes,
            LoadSharing loads) {
        mCrashes = crashes;
        mLoads = loads;
        mConfig = config;
        mMembership = membership;
        mReplica = replica;
        mRouters = routers;
        mPresences = presences;
        mPeers = peers;
    }

    /** Notes a change that peers should learn of before they next ask. */
    void urgent(Backend backend) {
        mUrgent.add(new Announcement(backend, mConfig.name()));
    }

    /** Sends what does not wait for the peers' next question. */
    void flush(Instant now, Consumer<? super ControlEffect> effects) {
        List<CrashRecord> crashes = mCrashes.takeUrgent();
        PeerLoads loads = mLoads.takeForPeers(now);
        if (mUrgent.isEmpty() && crashes.isEmpty() && loads.isEmpty()) {
            return;
        }
        List<String> peers = mPeers.all();
        if (!peers.isEmpty()) {
            effects.accept(new AnnounceToPeers(peers, List.copyOf(mUrgent), crashes, loads));
        }
        mUrgent.clear();
    }

    void tick(Instant now, Consumer<? super ControlEffect> effects) {
        if (now.isBefore(mNextRound)) {
            return;
        }
        Duration interval = mConfig.shareInterval();
        mNextRound = now.plus(interval);
        boolean withRouters = mRound++ % ROUTERS_EVERY == 0;
        mReplica.members().all().forEach(r -> mPeers.learn(now, r.name()));
        mPeers.forget(now);
        for (String peer : mPeers.all()) {
            effects.accept(
                    new RequestPeerUpdate(
                            peer, mMembership.cursorOf(peer), mCrashes.seenOf(peer), withRouters));
        }
    }

    void answer(Instant now, PeerUpdateRequested e, Consumer<? super ControlEffect> effects) {
        mPeers.learn(now, e.peer());
        effects.accept(
                new AnswerPeerUpdate(
                        e.call(),
                        mMembership.updateSince(e.cursor()),
                        mCrashes.answer(now, e.cursor(), e.crashesSeen()),
                        e.withRouters() ? mRouters.own() : List.of(),
                        mReplica.presence(now)));
    }

    void take(Instant now, PeerUpdateReceived e) {
        mMembership.merge(now, e.peer(), e.share());
        mCrashes.answered(now, e.peer(), e.crashes());
        mRouters.told(e.routers());
        mPresences.put(now, e.status());
        e.status().members().all().forEach(r -> mPeers.learn(now, r.name()));
    }
}
