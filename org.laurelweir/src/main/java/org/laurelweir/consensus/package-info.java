/**
 * The replicated log of the control instances: the Raft consensus algorithm as a reducer, with
 * elections, replication, snapshots, membership changes and linearizable reads.
 *
 * <p>The reducer does no I/O. The shell around it does: it passes each {@link
 * org.laurelweir.consensus.ConsensusEvent} to the reducer and carries out each {@link
 * org.laurelweir.consensus.ConsensusEffect} that the reducer emits. Replicas send each other {@link
 * org.laurelweir.consensus.ReplicaMessage}s.
 */
package org.laurelweir.consensus;
