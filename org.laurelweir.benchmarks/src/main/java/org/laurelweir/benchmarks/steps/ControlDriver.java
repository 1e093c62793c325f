package org.laurelweir.benchmarks.steps;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.laurelweir.consensus.ConsensusEvent;
import org.laurelweir.consensus.HardState;
import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.consensus.Snapshot;
import org.laurelweir.coordination.ControlConfig;
import org.laurelweir.coordination.ControlEffect;
import org.laurelweir.coordination.ControlEvent;
import org.laurelweir.coordination.ControlInstanceStatus;
import org.laurelweir.coordination.ControlReducer;
import org.laurelweir.load.LoadReport;
import org.laurelweir.load.PeerLoads;
import org.laurelweir.membership.Announcement;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.PeerUpdate;
import org.laurelweir.membership.ServiceSum;
import org.laurelweir.quarantine.CrashDelta;
import org.laurelweir.quarantine.CrashReport;
import org.laurelweir.wire.CommandCodec;

/**
 * Passes events to the reducer of one of seven control instances. A seventh of the backend servers
 * exchange with this instance; it learns of the others from its peers.
 */
final class ControlDriver {
    static final int INSTANCES = 7;
    static final int ROUTERS = 360;

    private static final Duration TICK = Duration.ofMillis(20);
    private static final int TICKS_PER_SECOND = 50;
    private static final int PEER_EXCHANGES_PER_SECOND = 2;

    private final ControlReducer mControl;
    private final List<Backend> mOwnBackends = new ArrayList<>();
    private Instant mNow = Instant.EPOCH;
    private MembershipCursor mCursor = MembershipCursor.NONE;
    private long mPeerVersion = 1;

    ControlDriver(int backends) {
        Map<String, String> addresses = new TreeMap<>();
        for (int i = 1; i <= INSTANCES; i++) {
            addresses.put(instanceName(i), "10.3.0." + i + ":7000");
        }
        ReplicaId self = new ReplicaId(instanceName(1), 1);
        ControlConfig config =
                ControlConfig.builder(self, SampleData.INCARNATION, addresses).build();
        mControl = new ControlReducer(config, new CommandCodec(), 1);
        step(
                new ControlEvent.ReplicaEvent(
                        new ConsensusEvent.Recovered(HardState.INITIAL, Snapshot.NONE, List.of())));
        fill(backends);
    }

    private static String instanceName(int instance) {
        return "control-" + instance;
    }

    private void fill(int backends) {
        List<Announcement> others = new ArrayList<>();
        for (int i = 0; i < backends; i++) {
            Backend b = SampleData.backend(i, SampleData.service(i / INSTANCES), 1);
            if (i % INSTANCES == 0) {
                mOwnBackends.add(b);
            } else {
                others.add(new Announcement(b, instanceName(1 + i % INSTANCES)));
            }
        }
        step(new ControlEvent.PeerAnnounced(others, List.of(), PeerLoads.NONE));
        mOwnBackends.forEach(this::exchange);
    }

    private void step(ControlEvent event) {
        mControl.step(mNow, event, this::onEffect);
    }

    private void onEffect(ControlEffect effect) {
        if (effect instanceof ControlEffect.AnswerExchange a) {
            mCursor = a.membership().cursor();
        }
    }

    private void exchange(Backend backend) {
        step(new ControlEvent.SidecarExchanged(1, SampleData.sidecarReport(backend), mCursor, 0));
    }

    /** Delivers the exchange of a sidecar without changes. */
    void exchangeSidecar(int number) {
        exchange(mOwnBackends.get(number % mOwnBackends.size()));
    }

    /** Delivers the exchange of a sidecar under a new session, which is one membership change. */
    void changeSidecar(int number, int session) {
        int index = number % mOwnBackends.size();
        Backend renewed =
                SampleData.backend(index * INSTANCES, mOwnBackends.get(index).service(), session);
        mOwnBackends.set(index, renewed);
        exchange(renewed);
    }

    /** Delivers the exchange of a router whose membership is up to date. */
    void exchangeRouter(int number) {
        exchangeRouter(number, mCursor);
    }

    /** Delivers the exchange of a new router, which receives the whole membership. */
    void exchangeNewRouter(int number) {
        MembershipCursor current = mCursor;
        exchangeRouter(number, MembershipCursor.NONE);
        mCursor = current;
    }

    private void exchangeRouter(int number, MembershipCursor cursor) {
        step(
                new ControlEvent.RouterExchanged(
                        1,
                        SampleData.routerReport(number),
                        cursor,
                        0,
                        CrashReport.NONE,
                        LoadReport.NONE));
    }

    /** Runs one second without changes: ticks, all exchanges, and the updates of all peers. */
    void runSecond() {
        for (int i = 0; i < TICKS_PER_SECOND; i++) {
            mNow = mNow.plus(TICK);
            step(new ControlEvent.Tick());
        }
        mOwnBackends.forEach(this::exchange);
        for (int i = 0; i < ROUTERS / INSTANCES; i++) {
            exchangeRouter(i);
        }
        for (int i = 0; i < PEER_EXCHANGES_PER_SECOND; i++) {
            exchangeWithPeers();
        }
    }

    /** Delivers a tick. */
    void tick() {
        step(new ControlEvent.Tick());
    }

    private void exchangeWithPeers() {
        mPeerVersion++;
        for (int i = 2; i <= INSTANCES; i++) {
            step(new ControlEvent.PeerUpdateRequested(1, "peer", mCursor, 0, false));
            step(
                    new ControlEvent.PeerUpdateReceived(
                            instanceName(i),
                            peerUpdate(instanceName(i)),
                            CrashDelta.NONE,
                            List.of(),
                            peerStatus(i)));
        }
    }

    private PeerUpdate peerUpdate(String peer) {
        List<ServiceSum> sums = new ArrayList<>();
        for (int i = 0; i < SampleData.SERVICES; i++) {
            sums.add(new ServiceSum(SampleData.service(i), 1e6, 15, 15));
        }
        MembershipCursor cursor = new MembershipCursor(peer, SampleData.INCARNATION, mPeerVersion);
        return new PeerUpdate(cursor, List.of(), sums);
    }

    private static ControlInstanceStatus peerStatus(int instance) {
        ReplicaId id = new ReplicaId(instanceName(instance), 1);
        return new ControlInstanceStatus(
                id, "10.3.0.9:7000", false, 1, 1, false, Membership.EMPTY, Optional.empty());
    }
}
