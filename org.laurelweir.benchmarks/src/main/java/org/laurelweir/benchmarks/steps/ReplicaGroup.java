package org.laurelweir.benchmarks.steps;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.laurelweir.agreement.AgreementConfig;
import org.laurelweir.agreement.AgreementEffect;
import org.laurelweir.agreement.AgreementEvent;
import org.laurelweir.agreement.AgreementReducer;
import org.laurelweir.agreement.HardState;
import org.laurelweir.agreement.Membership;
import org.laurelweir.agreement.ReplicaId;
import org.laurelweir.agreement.Role;
import org.laurelweir.agreement.Snapshot;

/** Replicas of a log that reach each other at once and whose disks sync at once. */
final class ReplicaGroup {
    private static final Duration TICK = Duration.ofMillis(20);

    private final Map<ReplicaId, AgreementReducer> mReplicas = new LinkedHashMap<>();
    private final ArrayDeque<Delivery> mQueue = new ArrayDeque<>();
    private Instant mNow = Instant.EPOCH;
    private ReplicaId mLeader;
    private long mProposals;

    private record Delivery(ReplicaId to, AgreementEvent event) {}

    ReplicaGroup(int voters) {
        AgreementConfig config = AgreementConfig.builder().build();
        for (int i = 1; i <= voters; i++) {
            ReplicaId id = new ReplicaId("control-" + i, i);
            mReplicas.put(id, new AgreementReducer(id, config, i));
            give(id, new AgreementEvent.Recovered(HardState.INITIAL, Snapshot.NONE, List.of()));
        }
        ReplicaId first = mReplicas.keySet().iterator().next();
        Membership all = Membership.ofVoters(mReplicas.keySet());
        give(first, new AgreementEvent.Bootstrapped(all));
        while (mLeader == null) {
            tick();
        }
    }

    /** Lets a tick go by at every replica. */
    void tick() {
        mNow = mNow.plus(TICK);
        mReplicas.keySet().forEach(id -> give(id, new AgreementEvent.Tick()));
    }

    /** Proposes a command and lets everything happen that follows from it. */
    void propose(byte[] command) {
        give(mLeader, new AgreementEvent.Proposed(++mProposals, command));
    }

    private void give(ReplicaId to, AgreementEvent event) {
        mQueue.add(new Delivery(to, event));
        while (!mQueue.isEmpty()) {
            Delivery d = mQueue.poll();
            mReplicas.get(d.to()).step(mNow, d.event(), e -> take(d.to(), e));
        }
    }

    private void take(ReplicaId self, AgreementEffect effect) {
        if (effect instanceof AgreementEffect.Send s) {
            mQueue.add(new Delivery(s.to(), new AgreementEvent.MessageReceived(self, s.message())));
        } else if (effect instanceof AgreementEffect.Persist p) {
            mQueue.add(new Delivery(self, new AgreementEvent.Persisted(p.sequence())));
        } else if (effect instanceof AgreementEffect.TakeSnapshot t) {
            AgreementEvent taken = new AgreementEvent.SnapshotTaken(t.index(), new byte[0]);
            mQueue.add(new Delivery(self, taken));
        } else if (effect instanceof AgreementEffect.RoleChanged r && r.role() == Role.LEADER) {
            mLeader = self;
        }
    }
}
