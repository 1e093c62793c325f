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

/**
 * Exchanges membership, crash records, loads, routers and statuses with the other control
 * instances.
 */
final class PeerSharing {
    private static final int ROUNDS_PER_ROUTER_UPDATE = 10;

    private final ControlConfig mConfig;
    private final SharedMembership mMembership;
    private final LogReplica mReplica;
    private final RouterTable mRouters;
    private final PeerStatuses mPeerStatuses;
    private final QuorumMonitor mQuorumMonitor;
    private final ControlPeers mPeers;
    private final CrashSharing mCrashSharing;
    private final LoadSharing mLoadSharing;
    private final ContentionSharing mContentionSharing;
    private final List<Announcement> mPendingAnnouncements = new ArrayList<>();
    private Instant mNextRound = Instant.MIN;
    private int mRound;

    PeerSharing(
            ControlConfig config,
            SharedMembership membership,
            LogReplica replica,
            RouterTable routers,
            PeerStatuses peerStatuses,
            QuorumMonitor quorumMonitor,
            ControlPeers peers,
            CrashSharing crashSharing,
            LoadSharing loadSharing,
            ContentionSharing contentionSharing) {
        mCrashSharing = crashSharing;
        mLoadSharing = loadSharing;
        mContentionSharing = contentionSharing;
        mConfig = config;
        mMembership = membership;
        mReplica = replica;
        mRouters = routers;
        mPeerStatuses = peerStatuses;
        mQuorumMonitor = quorumMonitor;
        mPeers = peers;
    }

    /** Queues a change of a backend server to be sent to the peers at once. */
    void announce(Backend backend) {
        mPendingAnnouncements.add(new Announcement(backend, mConfig.name()));
    }

    /** Sends the changes that do not wait for the next update. */
    void flush(Instant now, Consumer<? super ControlEffect> effects) {
        List<CrashRecord> crashes = mCrashSharing.takePeerUpdate();
        PeerLoads loads =
                mContentionSharing.addTo(
                        now, mLoadSharing.takePeerUpdate(now), mLoadSharing.localRouters());
        if (mPendingAnnouncements.isEmpty() && crashes.isEmpty() && loads.isEmpty()) {
            return;
        }
        List<String> peers = mPeers.all();
        if (!peers.isEmpty()) {
            effects.accept(
                    new AnnounceToPeers(peers, List.copyOf(mPendingAnnouncements), crashes, loads));
        }
        mPendingAnnouncements.clear();
    }

    void tick(Instant now, Consumer<? super ControlEffect> effects) {
        if (now.isBefore(mNextRound)) {
            return;
        }
        Duration interval = mConfig.peerUpdateInterval();
        mNextRound = now.plus(interval);
        boolean withRouters = mRound++ % ROUNDS_PER_ROUTER_UPDATE == 0;
        mPeers.removeSilent(now, mReplica.membership());
        for (String peer : mPeers.all()) {
            effects.accept(
                    new RequestPeerUpdate(
                            peer,
                            mMembership.cursorOf(peer),
                            mCrashSharing.peerVersion(peer),
                            withRouters));
        }
    }

    void answer(Instant now, PeerUpdateRequested e, Consumer<? super ControlEffect> effects) {
        mPeers.discover(now, e.peer());
        effects.accept(
                new AnswerPeerUpdate(
                        e.call(),
                        mMembership.updateSince(e.cursor()),
                        mCrashSharing.deltaSince(now, e.cursor(), e.crashesVersion()),
                        e.withRouters() ? mRouters.local() : List.of(),
                        mQuorumMonitor.status(now)));
    }

    void onPeerUpdate(Instant now, PeerUpdateReceived e) {
        mMembership.merge(now, e.peer(), e.update());
        mCrashSharing.onPeerUpdate(now, e.peer(), e.crashes());
        mRouters.merge(e.routers());
        mPeerStatuses.put(now, e.status());
        mPeers.discover(now, e.peer());
        e.status().members().all().forEach(r -> mPeers.discover(now, r.name()));
    }
}
