/**
 * The replicated log of the control instances, by Raft's rules, as a reducer: elections,
 * replication, snapshots, membership and reads. It does no I/O; {@link
 * org.laurelweir.agreement.AgreementEvent} and {@link org.laurelweir.agreement.ConsensusEffect} are
 * the contract with the shell, {@link org.laurelweir.agreement.ReplicaMessage} the one between
 * replicas.
 */
package org.laurelweir.agreement;
