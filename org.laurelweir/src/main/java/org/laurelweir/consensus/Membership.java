package org.laurelweir.consensus;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Collection;
import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * The replicas of the log: voters and learners.
 *
 * @param voters the replicas whose votes and copies count towards a quorum; sorted, unmodifiable
 * @param learners the replicas that receive the log but don't count towards a quorum; sorted,
 *     unmodifiable
 */
public record Membership(SortedSet<ReplicaId> voters, SortedSet<ReplicaId> learners) {
    /** The membership without any replica, which a new disk holds. */
    public static final Membership EMPTY = new Membership(new TreeSet<>(), new TreeSet<>());

    /** Creates a membership from copies of both sets. */
    public Membership {
        voters = Collections.unmodifiableSortedSet(new TreeSet<>(voters));
        learners = Collections.unmodifiableSortedSet(new TreeSet<>(learners));
    }

    /** Returns a membership of voters only. */
    public static Membership ofVoters(Collection<ReplicaId> voters) {
        return new Membership(new TreeSet<>(voters), new TreeSet<>());
    }

    /** Returns whether the voters that match a condition form a quorum. */
    public boolean hasQuorum(Predicate<ReplicaId> condition) {
        return spareVoters(condition) >= 0;
    }

    /**
     * Returns how many of the voters that match a condition are not needed for a quorum. Negative
     * if they are no quorum.
     */
    public int spareVoters(Predicate<ReplicaId> condition) {
        return (int) voters.stream().filter(condition).count() - majority();
    }

    /** Returns the highest value that a quorum of the voters reaches. */
    long quorumValue(ToLongFunction<ReplicaId> value) {
        long[] values = voters.stream().mapToLong(value).sorted().toArray();
        return values[values.length - majority()];
    }

    private int majority() {
        return voters.size() / 2 + 1;
    }

    /** Returns whether this replica is a voter. */
    public boolean isVoter(ReplicaId id) {
        return voters.contains(id);
    }

    /** Returns whether this replica is a voter or a learner. */
    public boolean contains(ReplicaId id) {
        return voters.contains(id) || learners.contains(id);
    }

    /** Returns voters and learners together. */
    public SortedSet<ReplicaId> all() {
        TreeSet<ReplicaId> all = new TreeSet<>(voters);
        all.addAll(learners);
        return all;
    }

    /** Returns this membership with an additional learner. */
    public Membership withLearner(ReplicaId id) {
        TreeSet<ReplicaId> newLearners = new TreeSet<>(learners);
        newLearners.add(id);
        return new Membership(voters, newLearners);
    }

    /** Returns this membership with a learner promoted to voter. */
    public Membership withVoter(ReplicaId id) {
        Membership without = without(id);
        TreeSet<ReplicaId> newVoters = new TreeSet<>(without.voters);
        newVoters.add(id);
        return new Membership(newVoters, without.learners);
    }

    /** Returns this membership without a replica. */
    public Membership without(ReplicaId id) {
        TreeSet<ReplicaId> newVoters = new TreeSet<>(voters);
        TreeSet<ReplicaId> newLearners = new TreeSet<>(learners);
        newVoters.remove(id);
        newLearners.remove(id);
        return new Membership(newVoters, newLearners);
    }

    /** Returns the encoded form that is stored in entries and files and sent in messages. */
    public byte[] encode() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            writeIds(out, voters);
            writeIds(out, learners);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /**
     * Decodes the result of {@link #encode()}.
     *
     * @throws IllegalArgumentException if the bytes are not an encoded membership
     */
    public static Membership decode(byte[] bytes) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            return new Membership(readIds(in), readIds(in));
        } catch (IOException e) {
            throw new IllegalArgumentException("not an encoded membership", e);
        }
    }

    private static void writeIds(DataOutputStream out, SortedSet<ReplicaId> ids)
            throws IOException {
        out.writeInt(ids.size());
        for (ReplicaId id : ids) {
            out.writeUTF(id.name());
            out.writeLong(id.storageId());
        }
    }

    private static SortedSet<ReplicaId> readIds(DataInputStream in) throws IOException {
        SortedSet<ReplicaId> ids = new TreeSet<>();
        int count = in.readInt();
        for (int i = 0; i < count; i++) {
            ids.add(new ReplicaId(in.readUTF(), in.readLong()));
        }
        return ids;
    }
}
