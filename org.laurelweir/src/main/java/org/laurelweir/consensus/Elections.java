package org.laurelweir.consensus;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import org.laurelweir.consensus.ReplicaMessage.PreVoteReply;
import org.laurelweir.consensus.ReplicaMessage.PreVoteRequest;
import org.laurelweir.consensus.ReplicaMessage.VoteReply;
import org.laurelweir.consensus.ReplicaMessage.VoteRequest;

/** Runs elections: decides when this replica campaigns and which votes it grants. */
final class Elections {
    /**
     * Divides the usual election timeout to get the first one after a start. The timeout may be
     * short: if a leader exists, the other voters reject the pre-vote, and the leader is not
     * disturbed.
     */
    private static final int STARTUP_TIMEOUT_DIVISOR = 6;

    private final ReplicaState mState;
    private final SplittableRandom mRandom;
    private final Set<ReplicaId> mVotes = new HashSet<>();
    private Instant mElectionDeadline;
    private Instant mLastLeaderContact = Instant.MIN;

    Elections(ReplicaState state, long seed) {
        mState = state;
        mRandom = new SplittableRandom(seed);
    }

    /**
     * Sets the election timer of a replica that has just started. If all replicas were stopped at
     * once, there is no leader to wait for, and no request is served until one is elected. If there
     * is a leader, the other voters reject an early pre-vote, and this replica then receives the
     * leader's heartbeat.
     */
    void startStartupTimer() {
        long base = mState.config().electionTimeout().toNanos() / STARTUP_TIMEOUT_DIVISOR;
        mElectionDeadline = mState.now().plus(Duration.ofNanos(base + mRandom.nextLong(base)));
    }

    /**
     * Restarts the election timer with a random timeout, so that replicas seldom campaign at the
     * same time.
     */
    void restartTimer() {
        long base = mState.config().electionTimeout().toNanos();
        mElectionDeadline = mState.now().plus(Duration.ofNanos(base + mRandom.nextLong(base)));
    }

    /**
     * Handles a message from the leader of the current term: restarts the timer and follows the
     * leader.
     */
    void onLeaderContact(ReplicaId leader) {
        mLastLeaderContact = mState.now();
        restartTimer();
        mState.become(Role.FOLLOWER, leader);
    }

    void onTick() {
        if (mState.role() == Role.LEADER || mState.now().isBefore(mElectionDeadline)) {
            return;
        }
        restartTimer();
        if (mState.isVoter()) {
            requestPreVotes();
        } else {
            mState.become(Role.FOLLOWER, null);
        }
    }

    /**
     * Requests pre-votes: asks the other voters whether they would grant a vote, without raising
     * the term. Otherwise a partitioned replica would raise its term again and again, and depose a
     * healthy leader once it is reconnected.
     */
    private void requestPreVotes() {
        mState.become(Role.PRE_CANDIDATE, null);
        mVotes.clear();
        ReplicatedLog log = mState.log();
        sendToVoters(new PreVoteRequest(mState.term() + 1, log.lastIndex(), log.lastTerm()));
        countVote(mState.self());
    }

    /** Campaigns at once, because the leader transfers its leadership to this replica. */
    void onTimeoutNow() {
        if (mState.isVoter()) {
            campaign(true);
        }
    }

    private void campaign(boolean leadershipTransfer) {
        mState.setHardState(new HardState(mState.term() + 1, mState.self()));
        mState.become(Role.CANDIDATE, null);
        mVotes.clear();
        restartTimer();
        long term = mState.term();
        // The candidate's vote for itself has to be synced first. If a crash lost it, the replica
        // could vote for another candidate in the same term.
        mState.diskWrites().afterSync(() -> requestVotes(term, leadershipTransfer));
    }

    private void requestVotes(long term, boolean leadershipTransfer) {
        if (mState.term() != term || mState.role() != Role.CANDIDATE) {
            return;
        }
        ReplicatedLog log = mState.log();
        sendToVoters(new VoteRequest(term, log.lastIndex(), log.lastTerm(), leadershipTransfer));
        countVote(mState.self());
    }

    private void sendToVoters(ReplicaMessage message) {
        for (ReplicaId voter : mState.log().membership().allVoters()) {
            if (!voter.equals(mState.self())) {
                mState.send(voter, message);
            }
        }
    }

    private void countVote(ReplicaId voter) {
        Membership membership = mState.log().membership();
        if (!membership.isVoter(voter)) {
            return;
        }
        mVotes.add(voter);
        if (!membership.hasQuorum(mVotes::contains)) {
            return;
        }
        if (mState.role() == Role.PRE_CANDIDATE) {
            campaign(false);
        } else {
            mState.become(Role.LEADER, mState.self());
        }
    }

    void onPreVoteRequest(ReplicaId from, PreVoteRequest m) {
        boolean granted =
                m.term() > mState.term()
                        && !isLeaderAlive()
                        && mState.log().isUpToDate(m.lastIndex(), m.lastTerm());
        mState.send(from, new PreVoteReply(granted ? m.term() : mState.term(), granted));
        if (granted) {
            yieldTo(from);
        }
    }

    /**
     * Yields to the campaign of another replica. Replicas that start at the same moment all request
     * pre-votes before they receive each other's requests, and all get them. Each would then vote
     * for itself, none would get a majority, and no request would be served for one more election
     * timeout. Of two pre-candidates, the one with the higher id yields, so that one remains. A
     * replica that has not requested pre-votes yet restarts its timer. If the other campaign fails,
     * the timer starts the next one.
     */
    private void yieldTo(ReplicaId other) {
        boolean isPreCandidate = mState.role() == Role.PRE_CANDIDATE;
        if (isPreCandidate && mState.self().compareTo(other) < 0) {
            return;
        }
        if (isPreCandidate) {
            mState.become(Role.FOLLOWER, null);
        }
        restartTimer();
    }

    void onPreVoteReply(ReplicaId from, PreVoteReply m) {
        if (!m.granted()) {
            if (m.term() > mState.term()) {
                mState.adoptTerm(m.term());
            }
            return;
        }
        if (mState.role() == Role.PRE_CANDIDATE && m.term() == mState.term() + 1) {
            countVote(from);
        }
    }

    void onVoteRequest(ReplicaId from, VoteRequest m) {
        // Ignores the request while a leader is in contact. Otherwise a removed replica that does
        // not know of its removal would depose one leader after the other.
        if (isLeaderAlive() && !m.leadershipTransfer()) {
            return;
        }
        if (m.term() > mState.term()) {
            mState.adoptTerm(m.term());
        }
        boolean granted = mayVoteFor(from, m);
        if (granted) {
            restartTimer();
            mState.become(Role.FOLLOWER, mState.leader());
            if (mState.votedFor() == null) {
                mState.setHardState(new HardState(mState.term(), from));
            }
        }
        mState.sendAfterSync(from, new VoteReply(mState.term(), granted));
    }

    private boolean mayVoteFor(ReplicaId candidate, VoteRequest m) {
        if (m.term() != mState.term()) {
            return false;
        }
        if (mState.votedFor() != null && !mState.votedFor().equals(candidate)) {
            return false;
        }
        return mState.log().isUpToDate(m.lastIndex(), m.lastTerm());
    }

    void onVoteReply(ReplicaId from, VoteReply m) {
        if (m.granted() && mState.role() == Role.CANDIDATE) {
            countVote(from);
        }
    }

    private boolean isLeaderAlive() {
        if (mState.role() == Role.LEADER) {
            return true;
        }
        return mState.leader() != null
                && mState.now()
                        .isBefore(mLastLeaderContact.plus(mState.config().electionTimeout()));
    }
}
