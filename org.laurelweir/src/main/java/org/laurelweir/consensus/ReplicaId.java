package org.laurelweir.consensus;

import java.util.function.LongSupplier;

/**
 * Names one replica together with its disk. A disk that was lost and replaced gets a new storage
 * id: the replica has forgotten its votes and entries, and under its old id a quorum that counted
 * them could be formed twice.
 *
 * @param name the control instance's name from its settings
 * @param storageId drawn at random when the data folder is created and kept in it; negative for an
 *     instance without a disk, which draws another one at each start
 */
public record ReplicaId(String name, long storageId) implements Comparable<ReplicaId> {
    /** Returns the storage id of a new disk. */
    public static long durableStorageId(LongSupplier random) {
        return random.getAsLong() & Long.MAX_VALUE;
    }

    /** Returns the storage id of one start of an instance without a disk. */
    public static long volatileStorageId(LongSupplier random) {
        return random.getAsLong() | Long.MIN_VALUE;
    }

    /**
     * Returns whether the replica remembers its votes and entries after a restart. One that does
     * not may learn, but must not vote: its vote would count towards a quorum that forgets.
     */
    public boolean isDurable() {
        return storageId >= 0;
    }

    // Written out, as the order is: a record's own ones and a combined comparator are made by the
    // virtual machine at their first use, which is on a starting control instance's way to its
    // first election.
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
