package org.laurelweir.benchmarks.steps;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
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
 * Drives the reducer of one of seven control instances: it hears a seventh of the backend servers
 * itself and knows the others from its peers.
 */
final class ControlDriver {
    static final int INSTANCES = 7;
    static final int ROUTERS = 360;

    private static final Duration TICK = Duration.ofMillis(20);
    private static final int TICKS_A_SECOND = 50;
    private static final int SHARES_A_SECOND = 2;

    private final ControlReducer mControl;
    private final List<Backend> mHeard = new ArrayList<>();
    private Instant mNow = Instant.EPOCH;
    private MembershipCursor mCursor = MembershipCursor.NONE;
    private long mPeerVersion = 1;

    ControlDriver(int backends) {
        Map<String, String> addresses = new TreeMap<>();
        for (int i = 1; i <= INSTANCES; i++) {
            addresses.put(name(i), "10.3.0." + i + ":7000");
        }
        ReplicaId self = new ReplicaId(name(1), 1);
        ControlConfig config = ControlConfig.builder(self, Samples.RUN, addresses).build();
        mControl = new ControlReducer(config, new CommandCodec(), 1);
        step(
                new ControlEvent.ReplicaEvent(
                        new ConsensusEvent.Recovered(HardState.INITIAL, Snapshot.NONE, List.of())));
        fill(backends);
    }

    private static String name(int instance) {
        return "control-" + instance;
    }

    private void fill(int backends) {
        List<Announcement> others = new ArrayList<>();
        for (int i = 0; i < backends; i++) {
            Backend b = Samples.backend(i, Samples.service(i / INSTANCES), 1);
            if (i % INSTANCES == 0) {
                mHeard.add(b);
            } else {
                others.add(new Announcement(b, name(1 + i % INSTANCES)));
            }
        }
        step(new ControlEvent.PeerAnnounced(others, List.of(), PeerLoads.NONE));
        mHeard.forEach(this::hear);
    }

    private void step(ControlEvent event) {
        mControl.step(mNow, event, this::take);
    }

    private void take(ControlEffect effect) {
        if (effect instanceof ControlEffect.AnswerExchange a) {
            mCursor = a.membership().cursor();
        }
    }

    private void hear(Backend backend) {
        step(new ControlEvent.SidecarExchanged(1, Samples.sidecarReport(backend), mCursor, 0));
    }

    /** Lets one of the sidecars exchange, without news. */
    void exchangeSidecar(int number) {
        hear(mHeard.get(number % mHeard.size()));
    }

    /** Lets a sidecar exchange under a new session: one change for everyone. */
    void changeSidecar(int number, int session) {
        int index = number % mHeard.size();
        Backend again = Samples.backend(index * INSTANCES, mHeard.get(index).service(), session);
        mHeard.set(index, again);
        hear(again);
    }

    /** Lets a router exchange that has everything. */
    void exchangeRouter(int number) {
        exchangeRouter(number, mCursor);
    }

    /** Lets a router exchange that is given the whole membership. */
    void exchangeNewRouter(int number) {
        MembershipCursor current = mCursor;
        exchangeRouter(number, MembershipCursor.NONE);
        mCursor = current;
    }

    private void exchangeRouter(int number, MembershipCursor cursor) {
        step(
                new ControlEvent.RouterExchanged(
                        1,
                        Samples.routerReport(number),
                        cursor,
                        0,
                        CrashReport.NONE,
                        LoadReport.NONE));
    }

    /** Lets a second go by without news: ticks, every exchange, and every peer's. */
    void second() {
        for (int i = 0; i < TICKS_A_SECOND; i++) {
            mNow = mNow.plus(TICK);
            step(new ControlEvent.Tick());
        }
        mHeard.forEach(this::hear);
        for (int i = 0; i < ROUTERS / INSTANCES; i++) {
            exchangeRouter(i);
        }
        for (int i = 0; i < SHARES_A_SECOND; i++) {
            share();
        }
    }

    /** Lets a tick go by. */
    void tick() {
        step(new ControlEvent.Tick());
    }

    private void share() {
        mPeerVersion++;
        for (int i = 2; i <= INSTANCES; i++) {
            step(new ControlEvent.PeerUpdateRequested(1, "peer", mCursor, 0, false));
            step(
                    new ControlEvent.PeerUpdateReceived(
                            name(i), peerShare(name(i)), CrashDelta.NONE, List.of(), peer(i)));
        }
    }

    private PeerUpdate peerShare(String peer) {
        List<ServiceSum> sums = new ArrayList<>();
        for (int i = 0; i < Samples.SERVICES; i++) {
            sums.add(new ServiceSum(Samples.service(i), 1e6, 15, 15));
        }
        MembershipCursor cursor = new MembershipCursor(peer, Samples.RUN, mPeerVersion);
        return new PeerUpdate(cursor, List.of(), sums);
    }

    private static ControlInstanceStatus peer(int instance) {
        ReplicaId id = new ReplicaId(name(instance), 1);
        return new ControlInstanceStatus(id, "10.3.0.9:7000", false, 1, 1, false, Membership.EMPTY);
    }
}
