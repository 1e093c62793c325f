package org.laurelweir.agreement;

/**
 * Names one replica together with its disk. A disk that was lost and replaced gets a new storage
 * id: the replica has forgotten its votes and entries, and under its old id a quorum that counted
 * them could be formed twice.
 *
 * @param name the control instance's name from its settings
 * @param storageId drawn at random when the data folder is created and kept in it
 */
public record ReplicaId(String name, long storageId) implements Comparable<ReplicaId> {
    // Written out, as the order is: the virtual machine takes 25 ms to make a record's own ones and
    // a combined comparator at their first use, which is on a starting control instance's way to
    // its first election.
    @Override
    public boolean equals(Object other) {
        return other instanceof ReplicaId r && storageId == r.storageId && name.equals(r.name);
    }

    @Override
    public int hashCode() {
        return 31 * name.hashCode() + Long.hashCode(storageId);
    }

    @Override
    public int compareTo(ReplicaId other) {
        int byName = name.compareTo(other.name);
        return byName != 0 ? byName : Long.compare(storageId, other.storageId);
    }

    @Override
    public String toString() {
        return name + "#" + Long.toHexString(storageId);
    }
}
