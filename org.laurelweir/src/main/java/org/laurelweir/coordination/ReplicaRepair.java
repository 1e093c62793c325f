package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.ReplicaId;

/**
 * Adapts the replicas of the log to the running control instances, one membership change at a time.
 *
 * <p>Each voter that is lost reduces by one the losses that the log survives, until another replica
 * has its place. An instance that returns with an empty disk, or one that takes the place of
 * another at a new address, is added as a learner. A learner that has caught up replaces a voter
 * whose disk is lost, that is silent, or that is about to stop. A replaced voter stays as a learner
 * unless its disk is lost. So a voter that was only silent for a while loses nothing but its vote,
 * and is the spare when it returns. An instance that an operator has removed is not added again.
 *
 * <p>{@link VoterPlan} decides which replicas vote.
 *
 * <p>In a deployment where instances join by themselves, a new instance is added in the same way,
 * and a replica that has been silent for {@link #REMOVAL_TIMEOUT} is removed. An instance that does
 * return joins again.
 */
final class ReplicaRepair {
    /** The call id of this class's membership changes. No caller waits for their answers. */
    static final long INTERNAL_CALL = -1;

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(200);

    /**
     * Time without a reply after which a spare takes the place of a voter, although its instance is
     * heard, for example because its disk takes no writes.
     */
    private static final Duration REPLACEMENT_TIMEOUT = Duration.ofSeconds(2);

    /**
     * Time of silence after which a replica is removed. It is longer than a restart with recovery
     * takes, so that an ordinary restart changes nothing.
     */
    private static final Duration REMOVAL_TIMEOUT = Duration.ofSeconds(10);

    private final LogReplica mReplica;
    private final PeerStatuses mPeerStatuses;
    private final ControlConfig mConfig;
    private Instant mNextCheck = Instant.MIN;

    ReplicaRepair(LogReplica replica, PeerStatuses peerStatuses, ControlConfig config) {
        mReplica = replica;
        mPeerStatuses = peerStatuses;
        mConfig = config;
    }

    void tick(Instant now, Consumer<? super ControlEffect> effects) {
        if (now.isBefore(mNextCheck)) {
            return;
        }
        mNextCheck = now.plus(CHECK_INTERVAL);
        if (mReplica.isLeader()) {
            plan(now)
                    .nextStep()
                    .ifPresent(s -> mReplica.changeMembership(now, INTERNAL_CALL, s, effects));
        }
    }

    private VoterPlan plan(Instant now) {
        Set<ReplicaId> running = new TreeSet<>();
        mPeerStatuses.recent(now).forEach(p -> running.add(p.replica()));
        running.add(mReplica.status(now).replica());
        Membership members = mReplica.membership();
        Set<ReplicaId> timedOut = silentFor(REMOVAL_TIMEOUT, now, members);
        timedOut.removeAll(running);
        return new VoterPlan(
                members,
                running,
                matching(members, mReplica::hasCaughtUp),
                departing(now, members, running),
                mConfig.autoJoin() ? timedOut : Set.of(),
                mConfig.autoJoin());
    }

    /**
     * Returns the replicas whose place a spare takes. One that has not replied since the election
     * of this leader counts if its instance was not heard before, either. Otherwise each change of
     * the leader would prolong the time in which a lost voter is counted.
     */
    private Set<ReplicaId> departing(Instant now, Membership members, Set<ReplicaId> running) {
        Duration contactTimeout = mConfig.consensus().electionTimeout();
        Set<ReplicaId> departing = silentFor(contactTimeout, now, members);
        departing.removeAll(running);
        departing.addAll(silentFor(max(REPLACEMENT_TIMEOUT, contactTimeout), now, members));
        departing.addAll(matching(members, mReplica::isLeaving));
        return departing;
    }

    private static Duration max(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? b : a;
    }

    private Set<ReplicaId> silentFor(Duration timeout, Instant now, Membership members) {
        Instant latest = now.minus(timeout);
        return matching(
                members,
                r -> mReplica.lastContact(r).filter(at -> !at.isAfter(latest)).isPresent());
    }

    private static Set<ReplicaId> matching(Membership members, Predicate<ReplicaId> condition) {
        return members.all().stream()
                .filter(condition)
                .collect(Collectors.toCollection(TreeSet::new));
    }
}
