package org.laurelweir.consensus;

import java.util.function.Predicate;
import org.laurelweir.consensus.MembershipChange.AddLearner;
import org.laurelweir.consensus.MembershipChange.Promote;
import org.laurelweir.lib.ResultCode;

/** Decides whether a leader may change the membership now. */
final class MembershipRules {
    /** More voters make each commit wait for more syncs and add no failure worth surviving. */
    private static final int MAX_VOTERS = 7;

    private final ReplicaState mState;
    private final Replication mReplication;
    private final Predicate<ReplicaId> mIsInContact;

    /**
     * Creates the rules.
     *
     * @param isHeard whether a replica was in contact within the election timeout
     */
    MembershipRules(ReplicaState state, Replication replication, Predicate<ReplicaId> isHeard) {
        mState = state;
        mReplication = replication;
        mIsInContact = isHeard;
    }

    /** Returns the membership after a change, equal to the present one if it has been made. */
    Membership resultOf(MembershipChange change) {
        Membership now = mState.log().membership();
        ReplicaId id = change.replica();
        if (change instanceof AddLearner) {
            return now.contains(id) ? now : now.withLearner(id);
        }
        if (change instanceof Promote) {
            return now.learners().contains(id) ? now.withVoter(id) : now;
        }
        return now.without(id);
    }

    /**
     * Judges a change.
     *
     * @param settled whether the newest membership and an entry of this term are committed. Without
     *     the first two changes could be open at once, without the second a change of a leader
     *     replaced meanwhile could; either way two quorums need not share a voter, and both could
     *     commit
     * @return OK, or why not
     */
    ResultCode check(MembershipChange change, Membership next, boolean settled) {
        if (!settled) {
            return ResultCode.MEMBERSHIP_CHANGE_PENDING;
        }
        boolean unknown = change instanceof Promote && !next.isVoter(change.replica());
        if (unknown || next.voters().isEmpty() || next.voters().size() > MAX_VOTERS) {
            return ResultCode.SETTINGS_INVALID;
        }
        if (next.equals(mState.log().membership())) {
            return ResultCode.OK;
        }
        if (change instanceof Promote && !hasCaughtUp(change.replica())) {
            return ResultCode.MEMBERSHIP_CHANGE_PENDING;
        }
        long heard = next.voters().stream().filter(mIsInContact).count();
        return heard >= next.quorum() ? ResultCode.OK : ResultCode.NO_QUORUM;
    }

    /**
     * A voter without the log counts for the quorum's size and can't help to reach it: until it had
     * caught up, the loss of one more replica would stop all commits.
     */
    private boolean hasCaughtUp(ReplicaId learner) {
        FollowerProgress p = mReplication.progress(learner);
        long lag = mState.log().lastIndex() - p.matchIndex();
        boolean isClose = p.matchIndex() > 0 && lag <= mState.config().maxLearnerLagEntries();
        return isClose && mIsInContact.test(learner);
    }
}
