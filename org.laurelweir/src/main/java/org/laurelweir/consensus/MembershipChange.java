package org.laurelweir.consensus;

/** One step from a membership to the next. Only one may be uncommitted at a time. */
public sealed interface MembershipChange {
    /** Returns the replica that the change is about. */
    ReplicaId replica();

    /** Lets a replica receive the log without counting. */
    record AddLearner(ReplicaId replica) implements MembershipChange {}

    /** Makes a learner that has caught up a voter. */
    record Promote(ReplicaId replica) implements MembershipChange {}

    /** Takes a voter or learner out. */
    record Remove(ReplicaId replica) implements MembershipChange {}
}
