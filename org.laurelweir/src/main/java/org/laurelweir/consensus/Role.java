package org.laurelweir.consensus;

/** The role of a replica in its current term. */
public enum Role {
    /** Follows a leader or waits for one. Learners and removed replicas have this role too. */
    FOLLOWER,
    /** Requests pre-votes without raising its term. */
    PRE_CANDIDATE,
    /** Requests votes in a new term. */
    CANDIDATE,
    /** Appends proposals to the log and replicates them. */
    LEADER
}
