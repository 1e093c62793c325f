package org.laurelweir.consensus;

/** What a replica is doing in its term. */
public enum Role {
    /** Follows a leader, or waits for one; learners and removed replicas too. */
    FOLLOWER,
    /** Asks whether an election could be won, without raising its term. */
    PRE_CANDIDATE,
    /** Asks for votes in a new term. */
    CANDIDATE,
    /** Orders proposals and replicates them. */
    LEADER
}
