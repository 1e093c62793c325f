package org.laurelweir.consensus;

import java.util.function.LongSupplier;

/**
 * Identifies a replica together with its disk. A replaced disk gets a new storage id. The replica
 * has lost its votes and entries. Under its old id it would still count for them and could vote
 * again, so that two conflicting quorums could form.
 *
 * @param name the name of the control instance
 * @param storageId a random number that is created and stored with the data folder; negative for an
 *     instance without a disk, which creates a new one at each start
 */
public record ReplicaId(String name, long storageId) implements Comparable<ReplicaId> {
    /** Returns a random storage id for a new disk. */
    public static long durableStorageId(LongSupplier random) {
        return random.getAsLong() & Long.MAX_VALUE;
    }

    /** Returns a random storage id for an instance without a disk, valid until its process ends. */
    public static long volatileStorageId(LongSupplier random) {
        return random.getAsLong() | Long.MIN_VALUE;
    }

    /**
     * Returns whether the replica keeps its votes and entries across a restart. A replica that
     * doesn't keep them may only be a learner: if it voted, a restart could take a counted vote
     * away from a quorum.
     */
    public boolean isDurable() {
        return storageId >= 0;
    }

    // equals, hashCode and compareTo are written by hand. The JVM would generate a record's default
    // methods and a combined comparator at their first use, which would delay the first election of
    // a starting control instance.
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
