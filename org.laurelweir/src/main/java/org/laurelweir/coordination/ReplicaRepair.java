package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.laurelweir.agreement.Membership;
import org.laurelweir.agreement.MembershipChange;
import org.laurelweir.agreement.ReplicaId;

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
 * <p>The voters are of an odd number, as far as there are disks for it: one more bears no further
 * loss, and a core of an even number that is cut into halves has a quorum on neither side. The
 * learner that is left over takes the place of the next voter that is removed.
 *
 * <p>An instance without a disk stays a learner: it serves its callers from what it learns, and
 * nothing depends on what it remembers.
 *
 * <p>In an open deployment a new instance joins the same way, and a voter that has been silent for
 * long is removed: one that was replaced at another address never comes back, and each such voter
 * would take away one loss that the log survives. One that does come back joins again.
 */
final class ReplicaRepair {
    /** The number under which the replica answers; no caller waits for it. */
    static final long CALL = -1;

    private static final int MOST_VOTERS = 7;
    private static final Duration INTERVAL = Duration.ofMillis(500);

    /** Longer than a restart with recovery takes, so that an ordinary restart changes nothing. */
    private static final Duration REMOVE_AFTER = Duration.ofSeconds(10);

    /** Fewer voters would not survive a single loss. */
    private static final int FEWEST_VOTERS = 3;

    private final LogReplica mReplica;
    private final PeerPresences mPeers;
    private final boolean mOpen;
    private final Map<ReplicaId, Instant> mSilentSince = new HashMap<>();
    private Instant mNext = Instant.MIN;

    ReplicaRepair(LogReplica replica, PeerPresences peers, boolean open) {
        mReplica = replica;
        mPeers = peers;
        mOpen = open;
    }

    void tick(Instant now, Consumer<? super ControlEffect> effects) {
        if (now.isBefore(mNext)) {
            return;
        }
        mNext = now.plus(INTERVAL);
        if (!mReplica.leads()) {
            mSilentSince.clear();
            return;
        }
        List<ReplicaId> present = new ArrayList<>();
        mPeers.fresh(now).forEach(p -> present.add(p.replica()));
        present.add(mReplica.presence(now).replica());
        Membership members = mReplica.members();
        noteSilent(now, members, present);
        nextStep(now, members, present)
                .or(() -> removal(now, members))
                .ifPresent(step -> mReplica.change(now, CALL, step, effects));
    }

    private Optional<MembershipChange> nextStep(
            Instant now, Membership members, List<ReplicaId> present) {
        return present.stream()
                .map(p -> nextStep(now, members, p, present))
                .flatMap(Optional::stream)
                .findFirst();
    }

    private Optional<MembershipChange> nextStep(
            Instant now, Membership members, ReplicaId replica, List<ReplicaId> present) {
        Optional<ReplicaId> before =
                members.all().stream()
                        .filter(r -> r.name().equals(replica.name()) && !r.equals(replica))
                        .findFirst();
        if (members.learners().contains(replica)) {
            boolean replaces = before.filter(members::isVoter).isPresent();
            return mayVote(members, replica) && (replaces || isWanted(now, members, present))
                    ? Optional.of(new MembershipChange.Promote(replica))
                    : before.map(MembershipChange.Remove::new);
        }
        if (members.isVoter(replica)) {
            return before.map(MembershipChange.Remove::new);
        }
        return mOpen || before.isPresent()
                ? Optional.of(new MembershipChange.AddLearner(replica))
                : Optional.empty();
    }

    private static boolean mayVote(Membership members, ReplicaId learner) {
        return learner.isDurable() && members.voters().size() < MOST_VOTERS;
    }

    /** Returns whether another voter bears a further loss, or takes a place that gets free. */
    private boolean isWanted(Instant now, Membership members, List<ReplicaId> present) {
        boolean becomesOdd = members.voters().size() % 2 == 0;
        boolean isPlaceFree = members.voters().stream().anyMatch(v -> isOverdue(now, v));
        return becomesOdd || isPlaceFree || spares(members, present) > 1;
    }

    /** Returns how many learners could vote and replace no voter. */
    private static long spares(Membership members, List<ReplicaId> present) {
        return members.learners().stream()
                .filter(r -> r.isDurable() && present.contains(r))
                .filter(r -> members.voters().stream().noneMatch(v -> v.name().equals(r.name())))
                .count();
    }

    private void noteSilent(Instant now, Membership members, List<ReplicaId> present) {
        mSilentSince.keySet().removeIf(r -> present.contains(r) || !members.contains(r));
        for (ReplicaId r : members.all()) {
            if (!present.contains(r)) {
                mSilentSince.putIfAbsent(r, now);
            }
        }
    }

    private boolean isOverdue(Instant now, ReplicaId replica) {
        Instant since = mSilentSince.get(replica);
        return mOpen && since != null && !since.plus(REMOVE_AFTER).isAfter(now);
    }

    private Optional<MembershipChange> removal(Instant now, Membership members) {
        return members.all().stream()
                .filter(r -> isOverdue(now, r))
                .filter(r -> !members.isVoter(r) || members.voters().size() > FEWEST_VOTERS)
                .min(ReplicaId::compareTo)
                .map(MembershipChange.Remove::new);
    }
}
