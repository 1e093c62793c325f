package org.laurelweir.consensus;

import java.util.function.Predicate;
import org.laurelweir.consensus.MembershipChange.AddLearner;
import org.laurelweir.consensus.MembershipChange.Promote;
import org.laurelweir.consensus.MembershipChange.Replace;
import org.laurelweir.lib.ResultCode;

/** Decides whether a leader may change the membership. */
final class MembershipRules {
    /**
     * Seven voters tolerate the loss of three. More voters would make each commit wait for more
     * syncs, for a tolerance that is not needed.
     */
    private static final int MAX_VOTERS = 7;

    private final ReplicaState mState;
    private final Replication mReplication;
    private final Predicate<ReplicaId> mIsInContact;

    /**
     * Creates the rules.
     *
     * @param isInContact returns whether a replica has replied within the election timeout
     */
    MembershipRules(ReplicaState state, Replication replication, Predicate<ReplicaId> isInContact) {
        mState = state;
        mReplication = replication;
        mIsInContact = isInContact;
    }

    /**
     * Returns the membership after a change. It equals the current one if the change is already
     * made.
     */
    Membership resultOf(MembershipChange change) {
        Membership current = mState.log().membership();
        ReplicaId id = change.replica();
        if (change instanceof AddLearner) {
            return current.contains(id) ? current : current.withLearner(id);
        }
        if (change instanceof Promote) {
            return current.learners().contains(id) ? current.withVoter(id) : current;
        }
        if (change instanceof Replace r) {
            boolean isPossible =
                    current.voters().contains(r.replaced()) && current.learners().contains(id);
            return isPossible ? current.withReplacement(r.replaced(), id) : current;
        }
        return current.without(id);
    }

    /**
     * Checks whether a change may be proposed.
     *
     * @param isStable whether the newest membership and an entry of the current term are committed,
     *     and no replacement is in progress. Without the first, two changes could be uncommitted at
     *     once; without the second, a change by a previous leader could still be uncommitted. In
     *     both cases two quorums might share no voter, and both could commit
     * @return OK, or the reason to reject the change
     */
    ResultCode check(MembershipChange change, Membership next, boolean isStable) {
        if (!isStable) {
            return ResultCode.MEMBERSHIP_CHANGE_PENDING;
        }
        if (!hasEffect(change, next) || next.voters().isEmpty()) {
            return ResultCode.SETTINGS_INVALID;
        }
        if (next.voters().size() > MAX_VOTERS) {
            return ResultCode.SETTINGS_INVALID;
        }
        if (next.equals(mState.log().membership())) {
            return ResultCode.OK;
        }
        boolean addsVoter = change instanceof Promote || change instanceof Replace;
        if (addsVoter && !change.replica().isDurable()) {
            return ResultCode.SETTINGS_INVALID;
        }
        if (addsVoter && !hasCaughtUp(change.replica())) {
            return ResultCode.MEMBERSHIP_CHANGE_PENDING;
        }
        return next.hasQuorum(mIsInContact) ? ResultCode.OK : ResultCode.NO_QUORUM;
    }

    /** Returns whether a membership is what a change asks for. */
    private static boolean hasEffect(MembershipChange change, Membership next) {
        if (change instanceof Replace r) {
            return next.isVoter(r.replica()) && !next.voters().contains(r.replaced());
        }
        return !(change instanceof Promote) || next.isVoter(change.replica());
    }

    /**
     * Returns whether a replica is in contact and its log is close to the leader's. A voter without
     * the log enlarges the quorum but can't help to reach it: until it has caught up, the loss of
     * one more replica would stop all commits.
     */
    boolean hasCaughtUp(ReplicaId replica) {
        if (replica.equals(mState.self())) {
            return true;
        }
        FollowerProgress p = mReplication.progress(replica);
        if (p == null) {
            return false;
        }
        long lag = mState.log().lastIndex() - p.matchIndex();
        boolean isClose = p.matchIndex() > 0 && lag <= mState.config().maxLearnerLagEntries();
        return isClose && mIsInContact.test(replica);
    }
}
