package org.laurelweir.consensus;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.laurelweir.consensus.ConsensusEffect.Persist;

/**
 * A reducer with a simulated disk, which may lose unsynced writes in a crash, and a list as its
 * state machine.
 */
final class TestReplica {
    static final ConsensusConfig CONFIG =
            ConsensusConfig.builder()
                    .electionTimeout(Duration.ofMillis(150))
                    .heartbeatInterval(Duration.ofMillis(40))
                    .appendFlow(70, 3)
                    .snapshotPolicy(10, 4, 16)
                    .maxLearnerLagEntries(3)
                    .logLimits(new LogLimits(8_000, 8_000, 24_000, 4_000, 2_000, 2_000))
                    .build();

    final ReplicaId mId;
    final ArrayDeque<ConsensusEvent> mLocalEvents = new ArrayDeque<>();
    ConsensusReducer mReducer;
    boolean mIsPaused;
    List<String> mApplied = new ArrayList<>();
    long mAppliedIndex;

    private final ArrayDeque<Persist> mUnsynced = new ArrayDeque<>();
    private final List<LogEntry> mDiskLog = new ArrayList<>();
    private HardState mDiskHardState = HardState.INITIAL;
    private Snapshot mDiskSnapshot = Snapshot.NONE;
    private long mDiskCommitIndex;

    TestReplica(ReplicaId id) {
        mId = id;
    }

    boolean isRunning() {
        return mReducer != null;
    }

    /** Starts from the disk and returns the effects of the first event. */
    List<ConsensusEffect> start(Instant now, long seed) {
        mReducer = new ConsensusReducer(mId, CONFIG, seed);
        loadSnapshot(mDiskSnapshot);
        List<ConsensusEffect> effects = new ArrayList<>();
        mReducer.step(
                now,
                new ConsensusEvent.Recovered(
                        mDiskHardState, mDiskSnapshot, List.copyOf(mDiskLog), mDiskCommitIndex),
                effects::add);
        return effects;
    }

    /**
     * Crashes. A random number of the writes that are not yet reported as synced have reached the
     * disk.
     */
    void crash(SplittableRandom random) {
        int writesOnDisk = random.nextInt(mUnsynced.size() + 1);
        for (int i = 0; i < writesOnDisk; i++) {
            write(mUnsynced.poll());
        }
        mUnsynced.clear();
        mLocalEvents.clear();
        mIsPaused = false;
        mReducer = null;
    }

    /**
     * Records the commit index in half of the calls: the record is not synced, and a crash may
     * leave an older one.
     */
    void markCommitted(long index, SplittableRandom random) {
        if (random.nextBoolean()) {
            mDiskCommitIndex = index;
        }
    }

    void queueWrite(Persist persist) {
        mUnsynced.add(persist);
    }

    /** Syncs all writes and queues the report to the reducer. */
    void sync() {
        if (mUnsynced.isEmpty()) {
            return;
        }
        long last = mUnsynced.peekLast().sequence();
        mUnsynced.forEach(this::write);
        mUnsynced.clear();
        mLocalEvents.add(new ConsensusEvent.Persisted(last));
    }

    private void write(Persist p) {
        if (p.hardState() != null) {
            mDiskHardState = p.hardState();
        }
        if (p.discardLog()) {
            mDiskLog.clear();
        }
        if (!p.entries().isEmpty()) {
            long first = p.entries().get(0).index();
            mDiskLog.removeIf(e -> e.index() >= first);
            mDiskLog.addAll(p.entries());
        }
        if (p.snapshot() != null) {
            mDiskSnapshot = p.snapshot();
            mDiskLog.removeIf(e -> e.index() <= mDiskSnapshot.index());
        }
    }

    void applyCommand(long index, byte[] command) {
        mAppliedIndex = index;
        mApplied.add(index + ":" + new String(command));
    }

    void loadSnapshot(Snapshot snapshot) {
        mAppliedIndex = snapshot.index();
        mApplied = new ArrayList<>(new String(snapshot.state()).lines().toList());
    }

    byte[] encodeState() {
        return String.join("\n", mApplied).getBytes();
    }

    /** Returns the membership on disk, which a restart would recover. */
    Membership membershipOnDisk() {
        Membership membership = mDiskSnapshot.membership();
        for (LogEntry e : mDiskLog) {
            if (e.kind() == LogEntry.Kind.MEMBERSHIP) {
                membership = Membership.decode(e.payload());
            }
        }
        return membership;
    }
}
