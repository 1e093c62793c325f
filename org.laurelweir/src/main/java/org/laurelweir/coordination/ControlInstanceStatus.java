package org.laurelweir.coordination;

import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.ReplicaId;

/**
 * The status that a control instance reports of itself.
 *
 * @param replica its replica id
 * @param address its address, host:port
 * @param leader whether it is the leader of its term
 * @param term its current term
 * @param commitIndex the index of the last entry that it knows to be committed and has applied
 * @param possiblyStale whether it can't confirm that its settings are the newest accepted ones
 * @param members the newest membership in its log
 */
public record ControlInstanceStatus(
        ReplicaId replica,
        String address,
        boolean leader,
        long term,
        long commitIndex,
        boolean possiblyStale,
        Membership members) {}
