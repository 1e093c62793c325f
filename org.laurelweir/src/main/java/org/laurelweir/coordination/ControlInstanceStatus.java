package org.laurelweir.coordination;

import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.ReplicaId;

/**
 * A control instance as it describes itself.
 *
 * @param replica its name with its disk's id
 * @param address where it is reached
 * @param leader whether it leads
 * @param term its term
 * @param commitIndex the last entry that it knows to be committed; all up to it have been applied
 * @param possiblyStale whether it can't confirm that nothing newer was accepted
 * @param members the replicas of the log as it knows them
 */
public record ControlInstanceStatus(
        ReplicaId replica,
        String address,
        boolean leader,
        long term,
        long commitIndex,
        boolean possiblyStale,
        Membership members) {}
