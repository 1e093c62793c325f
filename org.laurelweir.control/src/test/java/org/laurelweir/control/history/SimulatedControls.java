package org.laurelweir.control.history;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.laurelweir.consensus.ConsensusConfig;
import org.laurelweir.consensus.ConsensusEffect;
import org.laurelweir.consensus.ConsensusEvent;
import org.laurelweir.consensus.HardState;
import org.laurelweir.consensus.LogEntry;
import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.consensus.Snapshot;
import org.laurelweir.coordination.ControlConfig;
import org.laurelweir.coordination.ControlEffect;
import org.laurelweir.coordination.ControlEvent;
import org.laurelweir.coordination.ControlReducer;
import org.laurelweir.wire.CommandCodec;

/**
 * Simulates control instances: their messages, disks and clocks are driven by one seed. Messages
 * are delayed, lost or duplicated, instances crash and lose writes that were not synced, and clocks
 * differ.
 */
final class SimulatedControls {
    private static final int TICK_MILLIS = 20;
    private static final int ENTRIES_PER_SNAPSHOT = 40;

    final Random mRandom;
    final List<Node> mNodes = new ArrayList<>();
    private final PriorityQueue<Scheduled> mQueue = new PriorityQueue<>();
    private final Map<String, String> mAddresses = new TreeMap<>();
    private long mNow;
    private long mScheduled;
    private long mLastCall;
    private boolean mLossy = true;
    private long mLoggedBytes;

    SimulatedControls(int nodes, long seed) {
        mRandom = new Random(seed);
        for (int i = 0; i < nodes; i++) {
            mAddresses.put("c" + i, "c" + i);
        }
        List<ReplicaId> ids = new ArrayList<>();
        for (String name : mAddresses.keySet()) {
            Node n = new Node(new ReplicaId(name, ReplicaId.durableStorageId(mRandom::nextLong)));
            mNodes.add(n);
            ids.add(n.mId);
        }
        mNodes.forEach(Node::start);
        Membership first = Membership.ofVoters(ids);
        mNodes.get(0).offer(new ControlEvent.ReplicaEvent(new ConsensusEvent.Bootstrapped(first)));
    }

    long now() {
        return mNow;
    }

    void after(long millis, Runnable action) {
        mQueue.add(new Scheduled(mNow + millis, mScheduled++, action));
    }

    /** Advances the time by some milliseconds and runs the actions that are due. */
    void run(long millis) {
        long end = mNow + millis;
        while (!mQueue.isEmpty() && mQueue.peek().at() <= end) {
            Scheduled s = mQueue.poll();
            mNow = s.at();
            s.action().run();
        }
        mNow = end;
    }

    /** Advances the time until a condition holds, by a minute at most. */
    void runUntil(BooleanSupplier holds) {
        for (int i = 0; i < 600 && !holds.getAsBoolean(); i++) {
            run(100);
        }
    }

    /** Returns the total size of the entries that were written to disks. */
    long loggedBytes() {
        return mLoggedBytes;
    }

    /** Starts all stopped instances and ends partitions and message loss. */
    void heal() {
        mLossy = false;
        mNodes.stream().filter(n -> n.mReducer == null).forEach(Node::start);
        mNodes.forEach(n -> n.mPartitioned = false);
    }

    Node node(String name) {
        return mNodes.stream().filter(n -> n.mId.name().equals(name)).findFirst().orElse(null);
    }

    private boolean occurs(double probability) {
        return mLossy && mRandom.nextDouble() < probability;
    }

    private record Scheduled(long at, long order, Runnable action)
            implements Comparable<Scheduled> {
        @Override
        public int compareTo(Scheduled other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** A simulated instance with its disk. */
    final class Node {
        final ReplicaId mId;
        final Duration mClockSkew = Duration.ofMillis(mRandom.nextInt(10_000));
        final Map<Long, Consumer<ControlEffect.Answer>> mCalls = new HashMap<>();
        ControlReducer mReducer;
        boolean mPartitioned;
        private final TreeMap<Long, LogEntry> mLog = new TreeMap<>();
        private HardState mHardState = HardState.INITIAL;
        private Snapshot mSnapshot = Snapshot.NONE;
        private int mIncarnation;
        private long mDiskCommitIndex;
        private long mDiskBusyUntil;

        Node(ReplicaId id) {
            mId = id;
        }

        void start() {
            mIncarnation++;
            ConsensusConfig consensus =
                    ConsensusConfig.builder()
                            .electionTimeout(Duration.ofMillis(500))
                            .heartbeatInterval(Duration.ofMillis(80))
                            .snapshotPolicy(ENTRIES_PER_SNAPSHOT, ENTRIES_PER_SNAPSHOT / 4, 4096)
                            .build();
            ControlConfig config =
                    ControlConfig.builder(mId, mIncarnation, mAddresses)
                            .consensus(consensus)
                            .build();
            mReducer = new ControlReducer(config, new CommandCodec(), mRandom.nextLong());
            mCalls.clear();
            List<LogEntry> entries =
                    new ArrayList<>(mLog.tailMap(mSnapshot.index(), false).values());
            offer(
                    new ControlEvent.ReplicaEvent(
                            new ConsensusEvent.Recovered(
                                    mHardState, mSnapshot, entries, mDiskCommitIndex)));
            tick(mIncarnation);
        }

        void crash() {
            mReducer = null;
        }

        private void tick(int incarnation) {
            if (mReducer != null && incarnation == mIncarnation) {
                offer(new ControlEvent.Tick());
                after(TICK_MILLIS, () -> tick(incarnation));
            }
        }

        void offer(ControlEvent event) {
            if (mReducer != null) {
                Instant local = Instant.ofEpochMilli(mNow).plus(mClockSkew);
                mReducer.step(local, event, this::execute);
            }
        }

        /** Makes a call. The answer may be lost. */
        void call(LongFunction<ControlEvent> event, Consumer<ControlEffect.Answer> answer) {
            long call = ++mLastCall;
            mCalls.put(call, answer);
            offer(event.apply(call));
        }

        private void execute(ControlEffect effect) {
            if (effect instanceof ControlEffect.Answer a) {
                Consumer<ControlEffect.Answer> callback = mCalls.remove(a.call());
                if (callback != null && !occurs(0.1)) {
                    after(1, () -> callback.accept(a));
                }
            } else if (effect instanceof ControlEffect.SendToReplica s) {
                send(s.send());
            } else if (effect instanceof ControlEffect.Persist p) {
                persist(p.persist(), mIncarnation);
            } else if (effect instanceof ControlEffect.MarkCommitted m && occurs(0.5)) {
                mDiskCommitIndex = m.index();
            } else if (effect instanceof ControlEffect.EncodeSnapshot s) {
                byte[] state = new CommandCodec().encode(s.snapshot());
                offerLater(
                        5,
                        new ControlEvent.ReplicaEvent(
                                new ConsensusEvent.SnapshotTaken(s.index(), state)));
            }
        }

        private void offerLater(long millis, ControlEvent event) {
            int incarnation = mIncarnation;
            after(
                    millis,
                    () -> {
                        if (incarnation == mIncarnation) {
                            offer(event);
                        }
                    });
        }

        private void send(ConsensusEffect.Send s) {
            int copies = occurs(0.05) ? 0 : occurs(0.05) ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                after(1 + mRandom.nextInt(15), () -> deliver(s));
            }
        }

        private void deliver(ConsensusEffect.Send s) {
            Node to = node(s.to().name());
            if (!mPartitioned && !to.mPartitioned && to.mId.equals(s.to())) {
                to.offer(
                        new ControlEvent.ReplicaEvent(
                                new ConsensusEvent.MessageReceived(mId, s.message())));
            }
        }

        /**
         * Writes an effect to the disk after a delay. Writes reach the disk in order; a crash loses
         * those that have not reached it.
         */
        private void persist(ConsensusEffect.Persist p, int incarnation) {
            mDiskBusyUntil = Math.max(mNow, mDiskBusyUntil) + 1 + mRandom.nextInt(4);
            after(
                    mDiskBusyUntil - mNow,
                    () -> {
                        if (incarnation == mIncarnation && mReducer != null) {
                            write(p);
                            offer(
                                    new ControlEvent.ReplicaEvent(
                                            new ConsensusEvent.Persisted(p.sequence())));
                        }
                    });
        }

        private void write(ConsensusEffect.Persist p) {
            if (p.hardState() != null) {
                mHardState = p.hardState();
            }
            if (p.discardLog()) {
                mLog.clear();
            }
            if (p.snapshot() != null) {
                mSnapshot = p.snapshot();
                mLog.headMap(mSnapshot.index(), true).clear();
            }
            for (LogEntry e : p.entries()) {
                mLog.tailMap(e.index(), true).clear();
                mLog.put(e.index(), e);
                mLoggedBytes += e.payload().length;
            }
        }
    }
}
