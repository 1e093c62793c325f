package org.laurelweir.consensus;

/** A change of the membership by one replica. Only one change may be uncommitted at a time. */
public sealed interface MembershipChange {
    /** Returns the replica that is added, promoted or removed. */
    ReplicaId replica();

    /** Adds a replica that receives the log but doesn't count towards a quorum. */
    record AddLearner(ReplicaId replica) implements MembershipChange {}

    /** Promotes a learner that has caught up to voter. */
    record Promote(ReplicaId replica) implements MembershipChange {}

    /** Removes a voter or learner. */
    record Remove(ReplicaId replica) implements MembershipChange {}
}
