package org.laurelweir.control.storage;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.laurelweir.consensus.ConsensusEffect.Persist;
import org.laurelweir.consensus.ConsensusEvent.Recovered;
import org.laurelweir.consensus.HardState;
import org.laurelweir.consensus.LogEntry;
import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.consensus.Snapshot;

/** Generates persist effects as a consensus reducer emits them, from a seed. */
final class PersistGenerator {
    private final SplittableRandom mRandom;
    private long mSequence;
    private long mTerm;
    private long mLastIndex;
    private long mSnapshotIndex;

    PersistGenerator(long seed) {
        mRandom = new SplittableRandom(seed);
    }

    /** Returns a batch of one to three effects of any kind. */
    List<Persist> nextBatch() {
        List<Persist> batch = new ArrayList<>();
        for (int i = mRandom.nextInt(3); i >= 0; i--) {
            batch.add(next());
        }
        return batch;
    }

    private Persist next() {
        return switch (mRandom.nextInt(10)) {
            case 0 -> new Persist(++mSequence, newTerm(), null, false, replacementEntries());
            case 1 -> snapshotWithEntries();
            case 2 -> snapshotReplacingLog();
            default -> new Persist(++mSequence, null, null, false, nextEntries());
        };
    }

    /** Returns an effect with a snapshot of the log so far and entries after it. */
    Persist snapshotWithEntries() {
        return new Persist(++mSequence, null, snapshot(mLastIndex), false, nextEntries());
    }

    private HardState newTerm() {
        mTerm++;
        boolean voted = mRandom.nextBoolean();
        return new HardState(mTerm, voted ? new ReplicaId("b", mTerm) : null);
    }

    /**
     * Returns entries that replace some of those after the snapshot, as a new leader may send them.
     */
    private List<LogEntry> replacementEntries() {
        mLastIndex -= mRandom.nextLong(mLastIndex - mSnapshotIndex + 1);
        return nextEntries();
    }

    /** Returns one to four entries that follow the last one. */
    List<LogEntry> nextEntries() {
        List<LogEntry> entries = new ArrayList<>();
        for (int i = mRandom.nextInt(4); i >= 0; i--) {
            byte[] payload = new byte[mRandom.nextInt(20)];
            Arrays.fill(payload, (byte) mRandom.nextInt());
            entries.add(new LogEntry(++mLastIndex, mTerm, LogEntry.Kind.COMMAND, payload));
        }
        return entries;
    }

    /** Returns an effect whose snapshot replaces the whole log, with entries after it. */
    Persist snapshotReplacingLog() {
        mLastIndex += mRandom.nextInt(5) + 1;
        Snapshot snapshot = snapshot(mLastIndex);
        return new Persist(++mSequence, newTerm(), snapshot, true, nextEntries());
    }

    private Snapshot snapshot(long index) {
        mSnapshotIndex = index;
        Membership members = Membership.ofVoters(List.of(new ReplicaId("a", 1)));
        byte[] state = ("state after " + index).getBytes();
        return new Snapshot(index, mTerm, members, state);
    }

    /** Renders a recovered state, payloads included, for comparison. */
    static String render(Recovered r) {
        StringBuilder out = new StringBuilder();
        out.append(r.hardState()).append(' ').append(r.snapshot());
        out.append(' ').append(r.snapshot().membership());
        out.append(' ').append(new String(r.snapshot().state()));
        for (LogEntry e : r.entries()) {
            out.append('\n').append(e).append(' ').append(Arrays.toString(e.payload()));
        }
        return out.toString();
    }
}
