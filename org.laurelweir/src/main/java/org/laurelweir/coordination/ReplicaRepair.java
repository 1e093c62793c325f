package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.laurelweir.agreement.Membership;
import org.laurelweir.agreement.MembershipChange;
import org.laurelweir.agreement.ReplicaId;

/**
 * Replaces the replica of an instance that has come back with another disk, one step at a time: the
 * new one learns, becomes a voter once it has caught up, and then the old one is removed; of seven
 * voters the old one goes first, as there may not be eight.
 *
 * <p>The old replica is gone for good, as the instance of its name says who it is now; as long as
 * it is counted, the log survives one loss fewer. An instance that an operator removed is left out.
 */
final class ReplicaRepair {
    /** The number under which the replica answers; no caller waits for it. */
    static final long CALL = -1;

    private static final int MOST_VOTERS = 7;
    private static final Duration INTERVAL = Duration.ofMillis(500);

    private final LogReplica mReplica;
    private final PeerPresences mPeers;
    private Instant mNext = Instant.MIN;

    ReplicaRepair(LogReplica replica, PeerPresences peers) {
        mReplica = replica;
        mPeers = peers;
    }

    void tick(Instant now, Consumer<? super ControlEffect> effects) {
        if (now.isBefore(mNext) || !mReplica.leads()) {
            return;
        }
        mNext = now.plus(INTERVAL);
        List<ControlPresence> present = new ArrayList<>(mPeers.fresh(now));
        present.add(mReplica.presence(now));
        nextStep(mReplica.members(), present)
                .ifPresent(step -> mReplica.change(now, CALL, step, effects));
    }

    private static Optional<MembershipChange> nextStep(
            Membership members, List<ControlPresence> present) {
        return present.stream()
                .map(p -> nextStep(members, p.replica()))
                .flatMap(Optional::stream)
                .findFirst();
    }

    private static Optional<MembershipChange> nextStep(Membership members, ReplicaId now) {
        Optional<ReplicaId> before =
                members.all().stream()
                        .filter(r -> r.name().equals(now.name()) && !r.equals(now))
                        .findFirst();
        if (members.learners().contains(now)) {
            boolean full = members.voters().size() >= MOST_VOTERS;
            return before.isPresent() && full
                    ? before.map(MembershipChange.Remove::new)
                    : Optional.of(new MembershipChange.Promote(now));
        }
        return members.isVoter(now)
                ? before.map(MembershipChange.Remove::new)
                : before.map(r -> new MembershipChange.AddLearner(now));
    }
}
