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
 * Adapts the replicas of the log to the running control instances, one membership change at a time.
 *
 * <p>An instance that has returned with a new disk is replaced. Its new replica is added as a
 * learner and promoted to voter once it has caught up; then the old replica is removed. If there
 * are seven voters, the old replica is removed first, because eight are not allowed. The old
 * replica can't return, as the instance of the same name reports a new replica id. As long as the
 * old replica is counted, the log survives one loss fewer. An instance that an operator has removed
 * is not added again.
 *
 * <p>{@link VoterPlan} decides which replicas vote.
 *
 * <p>In a deployment where instances join by themselves, a new instance is added in the same way,
 * and a replica that has been silent for a time is removed. An instance that was replaced at
 * another address never returns, and each such voter would reduce by one the losses that the log
 * survives. An instance that does return joins again.
 */
final class ReplicaRepair {
    /** The call id of this class's membership changes. No caller waits for their answers. */
    static final long INTERNAL_CALL = -1;

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);

    /**
     * Time of silence after which a replica is removed. It is longer than a restart with recovery
     * takes, so that an ordinary restart changes nothing.
     */
    private static final Duration REMOVAL_TIMEOUT = Duration.ofSeconds(10);

    private final LogReplica mReplica;
    private final PeerStatuses mPeerStatuses;
    private final boolean mAutoJoin;
    private final Map<ReplicaId, Instant> mSilentSince = new HashMap<>();
    private Instant mNextCheck = Instant.MIN;

    ReplicaRepair(LogReplica replica, PeerStatuses peerStatuses, boolean autoJoin) {
        mReplica = replica;
        mPeerStatuses = peerStatuses;
        mAutoJoin = autoJoin;
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
        List<ReplicaId> runningReplicas = new ArrayList<>();
        mPeerStatuses.recent(now).forEach(p -> runningReplicas.add(p.replica()));
        runningReplicas.add(mReplica.status(now).replica());
        Membership members = mReplica.membership();
        updateSilentReplicas(now, members, runningReplicas);
        new VoterPlan(members, runningReplicas, timedOut(now), mAutoJoin)
                .nextStep()
                .ifPresent(step -> mReplica.changeMembership(now, INTERNAL_CALL, step, effects));
    }

    private void updateSilentReplicas(
            Instant now, Membership members, List<ReplicaId> runningReplicas) {
        mSilentSince.keySet().removeIf(r -> runningReplicas.contains(r) || !members.contains(r));
        for (ReplicaId r : members.all()) {
            if (!runningReplicas.contains(r)) {
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
