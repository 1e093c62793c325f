package org.laurelweir.benchmarks.steps;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.laurelweir.consensus.ConsensusConfig;
import org.laurelweir.consensus.ConsensusEffect;
import org.laurelweir.consensus.ConsensusEvent;
import org.laurelweir.consensus.ConsensusReducer;
import org.laurelweir.consensus.HardState;
import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.consensus.Role;
import org.laurelweir.consensus.Snapshot;

/** A group of log replicas whose messages and disk writes complete without delay. */
final class ReplicaGroup {
    private static final Duration TICK = Duration.ofMillis(20);

    private final Map<ReplicaId, ConsensusReducer> mReplicas = new LinkedHashMap<>();
    private final ArrayDeque<Delivery> mQueue = new ArrayDeque<>();
    private Instant mNow = Instant.EPOCH;
    private ReplicaId mLeader;
    private long mProposals;

    private record Delivery(ReplicaId to, ConsensusEvent event) {}

    ReplicaGroup(int voters) {
        ConsensusConfig config = ConsensusConfig.builder().build();
        for (int i = 1; i <= voters; i++) {
            ReplicaId id = new ReplicaId("control-" + i, i);
            mReplicas.put(id, new ConsensusReducer(id, config, i));
            deliver(id, new ConsensusEvent.Recovered(HardState.INITIAL, Snapshot.NONE, List.of()));
        }
        ReplicaId first = mReplicas.keySet().iterator().next();
        Membership all = Membership.ofVoters(mReplicas.keySet());
        deliver(first, new ConsensusEvent.Bootstrapped(all));
        while (mLeader == null) {
            tick();
        }
    }

    /** Advances the time by one tick at every replica. */
    void tick() {
        mNow = mNow.plus(TICK);
        mReplicas.keySet().forEach(id -> deliver(id, new ConsensusEvent.Tick()));
    }

    /** Proposes a command at the leader and delivers all events that follow from it. */
    void propose(byte[] command) {
        deliver(mLeader, new ConsensusEvent.Proposed(++mProposals, command));
    }

    private void deliver(ReplicaId to, ConsensusEvent event) {
        mQueue.add(new Delivery(to, event));
        while (!mQueue.isEmpty()) {
            Delivery d = mQueue.poll();
            mReplicas.get(d.to()).step(mNow, d.event(), e -> applyEffect(d.to(), e));
        }
    }

    private void applyEffect(ReplicaId self, ConsensusEffect effect) {
        if (effect instanceof ConsensusEffect.Send s) {
            mQueue.add(new Delivery(s.to(), new ConsensusEvent.MessageReceived(self, s.message())));
        } else if (effect instanceof ConsensusEffect.Persist p) {
            mQueue.add(new Delivery(self, new ConsensusEvent.Persisted(p.sequence())));
        } else if (effect instanceof ConsensusEffect.TakeSnapshot t) {
            ConsensusEvent taken = new ConsensusEvent.SnapshotTaken(t.index(), new byte[0]);
            mQueue.add(new Delivery(self, taken));
        } else if (effect instanceof ConsensusEffect.RoleChanged r && r.role() == Role.LEADER) {
            mLeader = self;
        }
    }
}
