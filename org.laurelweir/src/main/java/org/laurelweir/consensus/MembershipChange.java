package org.laurelweir.consensus;

/** A change of the membership. Only one change may be uncommitted at a time. */
public sealed interface MembershipChange {
    /** Returns the replica that is added, becomes a voter, or is removed. */
    ReplicaId replica();

    /** Adds a replica that receives the log but doesn't count towards a quorum. */
    record AddLearner(ReplicaId replica) implements MembershipChange {}

    /** Promotes a learner that has caught up to voter. */
    record Promote(ReplicaId replica) implements MembershipChange {}

    /**
     * Puts a learner that has caught up in the place of a voter, through a joint membership.
     *
     * @param replaced the voter, which becomes a learner unless its disk is known to be lost
     * @param replica the learner
     */
    record Replace(ReplicaId replaced, ReplicaId replica) implements MembershipChange {}

    /** Removes a voter or learner. */
    record Remove(ReplicaId replica) implements MembershipChange {}
}
