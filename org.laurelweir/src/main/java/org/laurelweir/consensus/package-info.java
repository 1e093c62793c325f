/**
 * The replicated log of the control instances, by Raft's rules, as a reducer: elections,
 * replication, snapshots, membership and reads. It does no I/O; {@link
 * org.laurelweir.consensus.AgreementEvent} and {@link org.laurelweir.consensus.ConsensusEffect} are
 * the contract with the shell, {@link org.laurelweir.consensus.ReplicaMessage} the one between
 * replicas.
 */
package org.laurelweir.consensus;
