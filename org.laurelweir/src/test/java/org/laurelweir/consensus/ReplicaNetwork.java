package org.laurelweir.consensus;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import org.laurelweir.consensus.ConsensusEffect.Apply;
import org.laurelweir.consensus.ConsensusEffect.InstallSnapshot;
import org.laurelweir.consensus.ConsensusEffect.MarkCommitted;
import org.laurelweir.consensus.ConsensusEffect.Persist;
import org.laurelweir.consensus.ConsensusEffect.ProposalAccepted;
import org.laurelweir.consensus.ConsensusEffect.ProposalRejected;
import org.laurelweir.consensus.ConsensusEffect.ReadReady;
import org.laurelweir.consensus.ConsensusEffect.RoleChanged;
import org.laurelweir.consensus.ConsensusEffect.Send;
import org.laurelweir.consensus.ConsensusEffect.TakeSnapshot;
import org.laurelweir.consensus.ConsensusEvent.MembershipChangeProposed;
import org.laurelweir.consensus.ConsensusEvent.MessageReceived;
import org.laurelweir.consensus.ConsensusEvent.SnapshotTaken;

/** Simulates replicas and the messages between them. Every random choice comes from one seed. */
final class ReplicaNetwork {
    /** A message in flight. */
    private record Envelope(ReplicaId from, ReplicaId to, ReplicaMessage message) {}

    final SafetyChecker mChecker = new SafetyChecker();
    final Map<String, TestReplica> mReplicas = new TreeMap<>();
    final SplittableRandom mRandom;

    private final List<Envelope> mInFlightMessages = new ArrayList<>();
    private final Set<String> mPartitioned = new HashSet<>();
    private Instant mNow = Instant.EPOCH;
    private long mNextId = 1;

    ReplicaNetwork(long seed, int size) {
        mRandom = new SplittableRandom(seed);
        for (int i = 0; i < size; i++) {
            replaceDisk("r" + i);
        }
        List<ReplicaId> ids = mReplicas.values().stream().map(r -> r.mId).toList();
        Membership initial = Membership.ofVoters(ids);
        step(mReplicas.get("r0"), new ConsensusEvent.Bootstrapped(initial));
        syncAndRunLocal(mReplicas.get("r0"));
    }

    /** Starts a replica with a name on a new disk, under a new id. */
    void replaceDisk(String name) {
        TestReplica replica = new TestReplica(new ReplicaId(name, mNextId++));
        mReplicas.put(name, replica);
        start(replica);
    }

    void start(TestReplica replica) {
        handle(replica, replica.start(mNow, mRandom.nextLong()));
    }

    void step(TestReplica replica, ConsensusEvent event) {
        if (!replica.isRunning()) {
            return;
        }
        if (replica.mIsPaused) {
            replica.mLocalEvents.add(event);
            return;
        }
        List<ConsensusEffect> effects = new ArrayList<>();
        replica.mReducer.step(mNow, event, effects::add);
        handle(replica, effects);
    }

    private void handle(TestReplica replica, List<ConsensusEffect> effects) {
        for (ConsensusEffect effect : effects) {
            if (effect instanceof Send e) {
                mInFlightMessages.add(new Envelope(replica.mId, e.to(), e.message()));
            } else if (effect instanceof Persist e) {
                assertMembershipsMayFollow(replica, e);
                replica.queueWrite(e);
            } else if (effect instanceof MarkCommitted e) {
                replica.markCommitted(e.index(), mRandom);
            } else if (effect instanceof Apply e) {
                replica.applyCommand(e.index(), e.command());
                mChecker.onApplied(replica, e.index(), e.term(), new String(e.command()));
            } else if (effect instanceof InstallSnapshot e) {
                replica.loadSnapshot(e.snapshot());
                mChecker.assertIsPrefix(replica);
            } else if (effect instanceof TakeSnapshot e) {
                replica.mLocalEvents.add(new SnapshotTaken(e.index(), replica.encodeState()));
            } else if (effect instanceof ProposalAccepted e) {
                mChecker.onAccepted(replica, e.proposalId(), e.index());
            } else if (effect instanceof ProposalRejected e) {
                mChecker.onRejected(e.proposalId(), e.code());
            } else if (effect instanceof ReadReady e) {
                mChecker.onReadReady(replica, e.readId());
            } else if (effect instanceof RoleChanged e && e.role() == Role.LEADER) {
                mChecker.onElected(replica.mId, e.term(), replica.mReducer.log());
            }
        }
    }

    private static void assertMembershipsMayFollow(TestReplica replica, Persist persist) {
        ReplicatedLog log = replica.mReducer.log();
        for (LogEntry e : persist.entries()) {
            if (e.kind() == LogEntry.Kind.MEMBERSHIP) {
                Membership next = Membership.decode(e.payload());
                SafetyChecker.assertMayFollow(log.membershipAt(e.index() - 1), next);
            }
        }
    }

    void tick(int millis) {
        mNow = mNow.plusMillis(millis);
        running().stream()
                .filter(r -> !r.mIsPaused)
                .forEach(r -> step(r, new ConsensusEvent.Tick()));
    }

    /** Delivers, duplicates or loses a random number of messages in flight, in random order. */
    void deliverSome(double loss, double repeat) {
        for (int i = mRandom.nextInt(8); i >= 0; i--) {
            deliverOne(loss, repeat);
        }
    }

    /**
     * Takes a random message in flight and delivers it, delivers it and keeps it for a second
     * delivery, or loses it.
     */
    void deliverOne(double loss, double repeat) {
        if (mInFlightMessages.isEmpty()) {
            return;
        }
        int i = mRandom.nextInt(mInFlightMessages.size());
        Envelope e = mInFlightMessages.get(i);
        TestReplica to = mReplicas.get(e.to().name());
        if (to != null && to.mIsPaused) {
            return;
        }
        if (mRandom.nextDouble() >= repeat) {
            mInFlightMessages.set(i, mInFlightMessages.get(mInFlightMessages.size() - 1));
            mInFlightMessages.remove(mInFlightMessages.size() - 1);
        }
        boolean lost = mRandom.nextDouble() < loss || isPartitioned(e.from().name(), e.to().name());
        if (!lost && to != null && to.mId.equals(e.to())) {
            step(to, new MessageReceived(e.from(), e.message()));
        }
    }

    private boolean isPartitioned(String a, String b) {
        return mPartitioned.contains(a) != mPartitioned.contains(b);
    }

    /**
     * Partitions the network: the given replicas lose contact to all others. Replicas on the same
     * side stay connected.
     */
    void partition(Collection<String> names) {
        mPartitioned.clear();
        mPartitioned.addAll(names);
    }

    /** Completes the pending syncs on about half of the replicas. */
    void syncSome() {
        mReplicas.values().stream()
                .filter(r -> mRandom.nextBoolean())
                .forEach(this::syncAndRunLocal);
    }

    void syncAndRunLocal(TestReplica r) {
        if (r.mIsPaused) {
            return;
        }
        r.sync();
        while (r.isRunning() && !r.mLocalEvents.isEmpty()) {
            step(r, r.mLocalEvents.poll());
        }
    }

    long propose(TestReplica to, String command) {
        long id = mNextId++;
        mChecker.onProposed(id, command);
        step(to, new ConsensusEvent.Proposed(id, command.getBytes()));
        return id;
    }

    void read(TestReplica from) {
        long id = mNextId++;
        mChecker.onReadRequested(id);
        step(from, new ConsensusEvent.ReadRequested(id));
    }

    void propose(TestReplica to, MembershipChange change) {
        step(to, new MembershipChangeProposed(mNextId++, change));
    }

    /** Returns the running leader with the highest term, or null. */
    TestReplica leader() {
        TestReplica newest = null;
        for (TestReplica r : running()) {
            boolean isLeader = r.mReducer.role() == Role.LEADER;
            if (isLeader && (newest == null || r.mReducer.term() > newest.mReducer.term())) {
                newest = r;
            }
        }
        return newest;
    }

    /** Returns a random replica, which may not be running. */
    TestReplica randomReplica() {
        List<TestReplica> all = List.copyOf(mReplicas.values());
        return all.get(mRandom.nextInt(all.size()));
    }

    /**
     * Returns a random replica that has the leader role, which another leader may have replaced.
     * Returns a random replica if there is none.
     */
    TestReplica randomLeader() {
        List<TestReplica> leaders =
                running().stream().filter(r -> r.mReducer.role() == Role.LEADER).toList();
        return leaders.isEmpty() ? randomReplica() : leaders.get(mRandom.nextInt(leaders.size()));
    }

    List<TestReplica> running() {
        return mReplicas.values().stream().filter(TestReplica::isRunning).toList();
    }

    /**
     * Proposes the next change towards a membership of exactly the current ids, all of them voters.
     */
    void repairMembership(TestReplica leader) {
        Membership current = leader.mReducer.membership();
        Set<ReplicaId> present = new HashSet<>();
        mReplicas.values().forEach(r -> present.add(r.mId));
        for (ReplicaId id : current.all()) {
            if (!present.contains(id)) {
                propose(leader, new MembershipChange.Remove(id));
                return;
            }
        }
        for (ReplicaId id : present) {
            if (current.learners().contains(id)) {
                propose(leader, new MembershipChange.Promote(id));
            } else if (!current.contains(id)) {
                propose(leader, new MembershipChange.AddLearner(id));
            }
        }
    }

    /** Stops a replica for good. An empty one at another address takes its place. */
    void replaceInstance(TestReplica replica) {
        replica.crash(mRandom);
        mReplicas.remove(replica.mId.name());
        replaceDisk("r" + mNextId);
    }

    /**
     * Proposes the next change towards a membership of the current ids by replacing voters that are
     * gone.
     */
    void replaceLostVoters(TestReplica leader) {
        Membership current = leader.mReducer.membership();
        Set<ReplicaId> present = new TreeSet<>();
        mReplicas.values().forEach(r -> present.add(r.mId));
        Optional<ReplicaId> lost =
                current.voters().stream().filter(v -> !present.contains(v)).findFirst();
        Optional<ReplicaId> learner =
                current.learners().stream().filter(present::contains).findFirst();
        if (lost.isPresent() && learner.isPresent()) {
            propose(leader, new MembershipChange.Replace(lost.get(), learner.get()));
            return;
        }
        for (ReplicaId id : present) {
            if (!current.contains(id)) {
                propose(leader, new MembershipChange.AddLearner(id));
                return;
            }
        }
        if (lost.isEmpty()) {
            repairMembership(leader);
        }
    }

    /**
     * Adds a replica that is no member, or puts a random learner in the place of a random voter.
     */
    void replaceAnyVoter(TestReplica leader) {
        if (!leader.isRunning()) {
            return;
        }
        Membership current = leader.mReducer.membership();
        Optional<ReplicaId> stranger =
                mReplicas.values().stream()
                        .map(r -> r.mId)
                        .filter(id -> !current.contains(id))
                        .findFirst();
        if (stranger.isPresent()) {
            propose(leader, new MembershipChange.AddLearner(stranger.get()));
        } else if (!current.learners().isEmpty()) {
            ReplicaId replaced = randomOf(current.voters());
            propose(leader, new MembershipChange.Replace(replaced, randomOf(current.learners())));
        }
    }

    private ReplicaId randomOf(Collection<ReplicaId> ids) {
        return List.copyOf(ids).get(mRandom.nextInt(ids.size()));
    }

    /**
     * Returns whether every replica is running and its membership, in memory and on disk, is that
     * all current ids are voters.
     */
    boolean isMembershipRepaired() {
        Membership allVoters =
                Membership.ofVoters(mReplicas.values().stream().map(r -> r.mId).toList());
        return mReplicas.values().stream()
                .allMatch(
                        r ->
                                r.isRunning()
                                        && r.membershipOnDisk().equals(allVoters)
                                        && r.mReducer.membership().equals(allVoters));
    }

    /** Returns whether every running replica has applied the leader's whole log. */
    boolean isFullyReplicated() {
        long last = leader() == null ? -1 : leader().mReducer.log().lastIndex();
        return running().stream().allMatch(r -> r.mReducer.commitIndex() == last);
    }

    void assertLogsMatch() {
        SafetyChecker.assertLogsMatch(running().stream().map(r -> r.mReducer.log()).toList());
    }

    /** Ends the partition and all pauses, and runs for some time. Crashed replicas stay stopped. */
    void healAndRun(Duration time) {
        mPartitioned.clear();
        running().forEach(r -> r.mIsPaused = false);
        run(time);
    }

    /** Runs for some time without new failures. */
    void run(Duration time) {
        Instant end = mNow.plus(time);
        while (mNow.isBefore(end)) {
            tick(20);
            running().forEach(this::syncAndRunLocal);
            for (int i = mInFlightMessages.size() * 2; i > 0; i--) {
                deliverOne(0, 0);
            }
        }
    }

    /** Passes an event to a replica and returns the effects without carrying them out. */
    List<ConsensusEffect> effectsOf(TestReplica replica, ConsensusEvent event) {
        List<ConsensusEffect> effects = new ArrayList<>();
        replica.mReducer.step(mNow, event, effects::add);
        return effects;
    }
}
