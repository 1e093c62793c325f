package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.ReplicaId;

/**
 * Keeps the replicas of the log in step with the control instances that there are, one step at a
 * time.
 *
 * <p>An instance that has come back with another disk is replaced: the new replica learns, becomes
 * a voter once it has caught up, and then the old one is removed; of seven voters the old one goes
 * first, as there may not be eight. The old replica is gone for good, as the instance of its name
 * says who it is now; as long as it is counted, the log survives one loss fewer. An instance that
 * an operator removed is left out.
 *
 * <p>Who should vote is decided by {@link VoterPlan}.
 *
 * <p>In an open deployment a new instance joins the same way, and a voter that has been silent for
 * long is removed: one that was replaced at another address never comes back, and each such voter
 * would take away one loss that the log survives. One that does come back joins again.
 */
final class ReplicaRepair {
    /** The number under which the replica answers; no caller waits for it. */
    static final long INTERNAL_CALL = -1;

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);

    /** Longer than a restart with recovery takes, so that an ordinary restart changes nothing. */
    private static final Duration REMOVAL_TIMEOUT = Duration.ofSeconds(10);

    private final LogReplica mReplica;
    private final PeerStatuses mPeerStatuses;
    private final boolean mAutoJoin;
    private final Map<ReplicaId, Instant> mSilentSince = new HashMap<>();
    private Instant mNextCheck = Instant.MIN;

    ReplicaRepair(LogReplica replica, PeerStatuses peers, boolean open) {
        mReplica = replica;
        mPeerStatuses = peers;
        mAutoJoin = open;
    }

    void tick(Instant now, Consumer<? super ControlEffect> effects) {
        if (now.isBefore(mNextCheck)) {
            return;
        }
        mNextCheck = now.plus(CHECK_INTERVAL);
        if (!mReplica.isLeader()) {
            mSilentSince.clear();
            return;
        }
        List<ReplicaId> present = new ArrayList<>();
        mPeerStatuses.recent(now).forEach(p -> present.add(p.replica()));
        present.add(mReplica.status(now).replica());
        Membership members = mReplica.membership();
        updateSilentReplicas(now, members, present);
        new VoterPlan(members, present, timedOut(now), mAutoJoin)
                .nextStep()
                .ifPresent(step -> mReplica.changeMembership(now, INTERNAL_CALL, step, effects));
    }

    private void updateSilentReplicas(Instant now, Membership members, List<ReplicaId> present) {
        mSilentSince.keySet().removeIf(r -> present.contains(r) || !members.contains(r));
        for (ReplicaId r : members.all()) {
            if (!present.contains(r)) {
                mSilentSince.putIfAbsent(r, now);
            }
        }
    }

    private Set<ReplicaId> timedOut(Instant now) {
        if (!mAutoJoin) {
            return Set.of();
        }
        return mSilentSince.entrySet().stream()
                .filter(e -> !e.getValue().plus(REMOVAL_TIMEOUT).isAfter(now))
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }
}
