package org.laurelweir.agreement;

import java.util.Comparator;

/**
 * Names one replica together with its disk. A disk that was lost and replaced gets a new storage
 * id: the replica has forgotten its votes and entries, and under its old id a quorum that counted
 * them could be formed twice.
 *
 * @param name the control instance's name from its settings
 * @param storageId drawn at random when the data folder is created and kept in it
 */
public record ReplicaId(String name, long storageId) implements Comparable<ReplicaId> {
    private static final Comparator<ReplicaId> ORDER =
            Comparator.comparing(ReplicaId::name).thenComparingLong(ReplicaId::storageId);

    @Override
    public int compareTo(ReplicaId other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return name + "#" + Long.toHexString(storageId);
    }
}
