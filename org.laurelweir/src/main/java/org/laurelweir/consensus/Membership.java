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
import java.util.stream.Stream;

/**
 * The replicas of the log: voters and learners.
 *
 * <p>While a voter is replaced, the membership is a joint one. It has the voters before and after
 * the replacement, and a quorum is a majority of each of both sets. So at each moment a set of lost
 * replicas stops the log only if it would stop it before or after the replacement, too. If the old
 * voter were removed first, or the new one promoted first, there would be a moment at which the
 * loss of a replica that is needed neither before nor after stops it.
 *
 * @param voters the replicas whose votes and copies count towards a quorum; sorted, unmodifiable
 * @param previousVoters the voters before the replacement that is in progress, empty if none is;
 *     sorted, unmodifiable
 * @param learners the replicas that receive the log but don't count towards a quorum; sorted,
 *     unmodifiable
 */
public record Membership(
        SortedSet<ReplicaId> voters,
        SortedSet<ReplicaId> previousVoters,
        SortedSet<ReplicaId> learners) {
    /** The membership without any replica, which a new disk holds. */
    public static final Membership EMPTY = new Membership(new TreeSet<>(), new TreeSet<>());

    /**
     * Stands in the encoded form of a joint membership for the number of voters. An earlier
     * version, which knows no joint memberships, reads no voters there and so never campaigns.
     */
    private static final int JOINT_MARK = -1;

    /** Creates a membership from copies of the sets. */
    public Membership {
        voters = unmodifiableCopy(voters);
        previousVoters = unmodifiableCopy(previousVoters);
        learners = unmodifiableCopy(learners);
    }

    /** Creates a membership in which no voter is being replaced. */
    public Membership(SortedSet<ReplicaId> voters, SortedSet<ReplicaId> learners) {
        this(voters, Collections.emptySortedSet(), learners);
    }

    private static SortedSet<ReplicaId> unmodifiableCopy(SortedSet<ReplicaId> ids) {
        return Collections.unmodifiableSortedSet(new TreeSet<>(ids));
    }

    /** Returns a membership of voters only. */
    public static Membership ofVoters(Collection<ReplicaId> voters) {
        return new Membership(new TreeSet<>(voters), new TreeSet<>());
    }

    /** Returns whether a voter is being replaced. */
    public boolean isJoint() {
        return !previousVoters.isEmpty();
    }

    /** Returns whether the replicas that match a condition form a quorum. */
    public boolean hasQuorum(Predicate<ReplicaId> condition) {
        return spareVoters(condition) >= 0;
    }

    /**
     * Returns how many of the replicas that match a condition may be lost, whichever they are, so
     * that the others still form a quorum. Negative if they are no quorum.
     */
    public int spareVoters(Predicate<ReplicaId> condition) {
        int spare = spareOf(voters, condition);
        return isJoint() ? Math.min(spare, spareOf(previousVoters, condition)) : spare;
    }

    private static int spareOf(SortedSet<ReplicaId> voters, Predicate<ReplicaId> condition) {
        return (int) voters.stream().filter(condition).count() - majority(voters);
    }

    /** Returns the highest value that a quorum of the voters reaches. */
    long quorumValue(ToLongFunction<ReplicaId> value) {
        long reached = quorumValue(voters, value);
        return isJoint() ? Math.min(reached, quorumValue(previousVoters, value)) : reached;
    }

    private static long quorumValue(SortedSet<ReplicaId> voters, ToLongFunction<ReplicaId> value) {
        long[] values = voters.stream().mapToLong(value).sorted().toArray();
        return values[values.length - majority(voters)];
    }

    private static int majority(SortedSet<ReplicaId> voters) {
        return voters.size() / 2 + 1;
    }

    /** Returns whether this replica is a voter, before or after a replacement in progress. */
    public boolean isVoter(ReplicaId id) {
        return voters.contains(id) || previousVoters.contains(id);
    }

    /** Returns all voters, those before and those after a replacement in progress. */
    public SortedSet<ReplicaId> allVoters() {
        TreeSet<ReplicaId> all = new TreeSet<>(voters);
        all.addAll(previousVoters);
        return all;
    }

    /** Returns whether this replica is a voter or a learner. */
    public boolean contains(ReplicaId id) {
        return isVoter(id) || learners.contains(id);
    }

    /** Returns voters and learners together. */
    public SortedSet<ReplicaId> all() {
        SortedSet<ReplicaId> all = allVoters();
        all.addAll(learners);
        return all;
    }

    /** Returns this membership with an additional learner. */
    public Membership withLearner(ReplicaId id) {
        TreeSet<ReplicaId> newLearners = new TreeSet<>(learners);
        newLearners.add(id);
        return new Membership(voters, previousVoters, newLearners);
    }

    /** Returns this membership with a learner promoted to voter. */
    public Membership withVoter(ReplicaId id) {
        Membership without = without(id);
        TreeSet<ReplicaId> newVoters = new TreeSet<>(without.voters);
        newVoters.add(id);
        return new Membership(newVoters, without.previousVoters, without.learners);
    }

    /** Returns this membership without a replica. */
    public Membership without(ReplicaId id) {
        TreeSet<ReplicaId> newVoters = new TreeSet<>(voters);
        TreeSet<ReplicaId> newPreviousVoters = new TreeSet<>(previousVoters);
        TreeSet<ReplicaId> newLearners = new TreeSet<>(learners);
        newVoters.remove(id);
        newPreviousVoters.remove(id);
        newLearners.remove(id);
        return new Membership(newVoters, newPreviousVoters, newLearners);
    }

    /**
     * Returns the joint membership in which a learner takes the place of a voter.
     *
     * @param replaced a voter
     * @param successor a learner
     */
    public Membership withReplacement(ReplicaId replaced, ReplicaId successor) {
        Membership after = withVoter(successor).without(replaced);
        return new Membership(after.voters, voters, after.learners);
    }

    /**
     * Returns the membership after a replacement in progress is complete. The replaced voter stays
     * as a learner, since it may return and then can take the place of another one. It doesn't stay
     * if another replica has its name: then its disk is lost.
     */
    public Membership withoutPreviousVoters() {
        TreeSet<ReplicaId> newLearners = new TreeSet<>(learners);
        for (ReplicaId old : previousVoters) {
            if (!voters.contains(old) && !hasOtherDiskOf(old)) {
                newLearners.add(old);
            }
        }
        return new Membership(voters, newLearners);
    }

    private boolean hasOtherDiskOf(ReplicaId id) {
        return Stream.concat(voters.stream(), learners.stream())
                .anyMatch(r -> r.name().equals(id.name()) && !r.equals(id));
    }

    /** Returns the encoded form that is stored in entries and files and sent in messages. */
    public byte[] encode() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            if (isJoint()) {
                out.writeInt(JOINT_MARK);
                writeIds(out, previousVoters);
            }
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
            int count = in.readInt();
            if (count != JOINT_MARK) {
                return new Membership(readIds(in, count), readIds(in, in.readInt()));
            }
            SortedSet<ReplicaId> previousVoters = readIds(in, in.readInt());
            SortedSet<ReplicaId> voters = readIds(in, in.readInt());
            return new Membership(voters, previousVoters, readIds(in, in.readInt()));
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

    private static SortedSet<ReplicaId> readIds(DataInputStream in, int count) throws IOException {
        SortedSet<ReplicaId> ids = new TreeSet<>();
        for (int i = 0; i < count; i++) {
            ids.add(new ReplicaId(in.readUTF(), in.readLong()));
        }
        return ids;
    }
}
