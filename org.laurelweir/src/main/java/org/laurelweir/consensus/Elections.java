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

/** Decides when to campaign and whom to vote for. */
final class Elections {
    /**
     * The first timeout after a start, as a part of the usual one. A replica that asks although
     * there is a leader is refused and harms nobody, so that nothing is won by waiting for a sign
     * of one.
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
     * Sets the timer of a replica that has just started. Where all of them were stopped at once
     * there is no leader to wait for, and nobody serves until one is elected; where there is one,
     * the others refuse the pre-vote of a replica that asks too early, and it hears the leader
     * next.
     */
    void startStartupTimer() {
        long base = mState.config().electionTimeout().toNanos() / STARTUP_TIMEOUT_DIVISOR;
        mElectionDeadline = mState.now().plus(Duration.ofNanos(base + mRandom.nextLong(base)));
    }

    /**
     * Starts waiting for a leader anew, for a random time so that replicas seldom campaign at once.
     */
    void restartTimer() {
        long base = mState.config().electionTimeout().toNanos();
        mElectionDeadline = mState.now().plus(Duration.ofNanos(base + mRandom.nextLong(base)));
    }

    /** Takes note of a sign of life from the leader of this term. */
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
     * Asks first whether a vote would be granted. A replica that was cut off would otherwise raise
     * its term again and again, and depose a healthy leader on its return.
     */
    private void requestPreVotes() {
        mState.become(Role.PRE_CANDIDATE, null);
        mVotes.clear();
        ReplicatedLog log = mState.log();
        sendToVoters(new PreVoteRequest(mState.term() + 1, log.lastIndex(), log.lastTerm()));
        countVote(mState.self());
    }

    /** Campaigns without waiting, since the leader has asked for it. */
    void onTimeoutNow() {
        if (mState.isVoter()) {
            campaign(true);
        }
    }

    private void campaign(boolean handedOver) {
        mState.setHardState(new HardState(mState.term() + 1, mState.self()));
        mState.become(Role.CANDIDATE, null);
        mVotes.clear();
        restartTimer();
        long term = mState.term();
        // A candidate that forgot its own vote in a crash could give it to another of the same
        // term.
        mState.diskWrites().afterSync(() -> requestVotes(term, handedOver));
    }

    private void requestVotes(long term, boolean handedOver) {
        if (mState.term() != term || mState.role() != Role.CANDIDATE) {
            return;
        }
        ReplicatedLog log = mState.log();
        sendToVoters(new VoteRequest(term, log.lastIndex(), log.lastTerm(), handedOver));
        countVote(mState.self());
    }

    private void sendToVoters(ReplicaMessage message) {
        for (ReplicaId v : mState.log().membership().voters()) {
            if (!v.equals(mState.self())) {
                mState.send(v, message);
            }
        }
    }

    private void countVote(ReplicaId voter) {
        Membership membership = mState.log().membership();
        if (!membership.isVoter(voter)) {
            return;
        }
        mVotes.add(voter);
        if (mVotes.size() < membership.quorum()) {
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
     * Lets another replica's campaign go first. Replicas that start at the same moment all ask for
     * pre-votes before they hear of each other, and all get them; each would then vote for itself,
     * none would have a majority, and nobody would serve for one more timeout. Of two that ask, the
     * one with the higher name yields, which leaves one of them; a replica that has not asked yet
     * waits. If nothing comes of that campaign, the timer starts the next one.
     */
    private void yieldTo(ReplicaId other) {
        boolean asks = mState.role() == Role.PRE_CANDIDATE;
        if (asks && mState.self().compareTo(other) < 0) {
            return;
        }
        if (asks) {
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
        // A removed replica that never heard of its removal would else depose leader after leader.
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
