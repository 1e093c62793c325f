package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.ReplicaId;

/**
 * Watches how many losses the log can bear while this instance leads, and what is missing for a
 * quorum while it knows of no leader.
 */
final class QuorumMonitor implements VoterHealth {
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(250);

    private final ControlConfig mConfig;
    private final LogReplica mReplica;
    private final PeerStatuses mPeerStatuses;
    private final LostDisks mLostDisks;
    private final LossToleranceLogger mLossToleranceLogger = new LossToleranceLogger();
    private final TooFewVotersLogger mTooFewVotersLogger = new TooFewVotersLogger();
    private final LeaderlessLogger mLeaderlessLogger = new LeaderlessLogger();
    private Instant mNextCheck = Instant.MIN;

    QuorumMonitor(ControlConfig config, LogReplica replica, PeerStatuses peerStatuses) {
        mConfig = config;
        mReplica = replica;
        mPeerStatuses = peerStatuses;
        mLostDisks = new LostDisks(config.replica(), peerStatuses);
    }

    /** Returns the status of this instance, with the loss tolerance if it leads. */
    ControlInstanceStatus status(Instant now) {
        ControlInstanceStatus status = mReplica.status(now);
        return mReplica.isLeader() ? status.withLossTolerance(lossTolerance(now)) : status;
    }

    private LossTolerance lossTolerance(Instant now) {
        Duration silenceTimeout = mConfig.consensus().electionTimeout();
        return lossTolerance(now, mReplica.membership(), silenceTimeout, mConfig.toleratedLosses());
    }

    void tick(Instant now, Consumer<? super ControlEffect> effects) {
        if (now.isBefore(mNextCheck)) {
            return;
        }
        mNextCheck = now.plus(CHECK_INTERVAL);
        updateLostDisks(now);
        if (mReplica.isLeader()) {
            LossReport report = lossReport(now);
            mLossToleranceLogger.update(now, report, effects);
            mTooFewVotersLogger.update(now, report, effects);
        } else {
            mLossToleranceLogger.reset();
            mTooFewVotersLogger.reset();
        }
        ReplicaId leader = mReplica.leader();
        if (leader == null) {
            knownMembership(now)
                    .ifPresent(m -> mLeaderlessLogger.onNoLeader(now, view(now, m), effects));
        } else {
            mLeaderlessLogger.onLeader(now, leader, effects);
        }
    }

    private LossReport lossReport(Instant now) {
        Membership members = mReplica.membership();
        LossTolerance tolerance = lossTolerance(now);
        List<ReplicaId> readyLearners =
                members.learners().stream()
                        .filter(ReplicaId::isDurable)
                        .filter(this::hasCaughtUp)
                        .toList();
        return new LossReport(members, tolerance, oldestReply(now, tolerance), readyLearners);
    }

    private void updateLostDisks(Instant now) {
        Set<ReplicaId> voters = new HashSet<>(mReplica.membership().allVoters());
        peerMemberships(now).forEach(m -> voters.addAll(m.allVoters()));
        mLostDisks.update(now, voters);
    }

    private Duration oldestReply(Instant now, LossTolerance tolerance) {
        Set<ReplicaId> counted = new HashSet<>(mReplica.membership().allVoters());
        tolerance.missing().forEach(m -> counted.remove(m.voter()));
        return counted.stream()
                .flatMap(v -> lastContact(v).stream())
                .map(t -> Duration.between(t, now))
                .max(Comparator.naturalOrder())
                .orElse(Duration.ZERO);
    }

    /** Returns the membership in this replica's log, or in a peer's if this log has none. */
    private Optional<Membership> knownMembership(Instant now) {
        return Stream.concat(Stream.of(mReplica.membership()), peerMemberships(now).stream())
                .filter(m -> !m.allVoters().isEmpty())
                .findFirst();
    }

    /**
     * Returns the memberships that peers have reported lately, the one of the longest log first.
     */
    private List<Membership> peerMemberships(Instant now) {
        return mPeerStatuses.recent(now).stream()
                .sorted(Comparator.comparingLong(ControlInstanceStatus::commitIndex).reversed())
                .map(ControlInstanceStatus::members)
                .filter(m -> !m.allVoters().isEmpty())
                .toList();
    }

    private QuorumView view(Instant now, Membership members) {
        Set<ReplicaId> heard = new HashSet<>();
        heard.add(mConfig.replica());
        mPeerStatuses.recent(now).forEach(p -> heard.add(p.replica()));
        Optional<ReplicaId> leader =
                mPeerStatuses.recent(now).stream()
                        .filter(ControlInstanceStatus::leader)
                        .map(ControlInstanceStatus::replica)
                        .findFirst();
        return new QuorumView(members, peerMemberships(now), heard, mLostDisks::contains, leader);
    }

    @Override
    public boolean hasCaughtUp(ReplicaId voter) {
        return mReplica.hasCaughtUp(voter);
    }

    @Override
    public Optional<Instant> lastContact(ReplicaId voter) {
        return mReplica.lastContact(voter);
    }

    @Override
    public boolean hasLostDisk(ReplicaId voter) {
        return mLostDisks.contains(voter);
    }
}
