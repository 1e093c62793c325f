package org.laurelweir.control.history;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.laurelweir.consensus.ConsensusConfig;
import org.laurelweir.consensus.ConsensusEffect;
import org.laurelweir.consensus.ConsensusEvent;
import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.ReplicaId;
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
    private final SimulatedTime mTime = new SimulatedTime();
    private final Map<String, String> mAddresses = new TreeMap<>();
    private long mLastCall;
    private boolean mLossy = true;

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
        return mTime.now();
    }

    void after(long millis, Runnable action) {
        mTime.after(millis, action);
    }

    /** Advances the time by some milliseconds and runs the actions that are due. */
    void run(long millis) {
        mTime.run(millis);
    }

    /** Advances the time until a condition holds, by a minute at most. */
    void runUntil(BooleanSupplier holds) {
        for (int i = 0; i < 600 && !holds.getAsBoolean(); i++) {
            run(100);
        }
    }

    /** Returns the total size of the entries that were written to disks. */
    long loggedBytes() {
        return mNodes.stream().mapToLong(n -> n.mDisk.loggedBytes()).sum();
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

    /** A simulated instance with its disk. */
    final class Node {
        final ReplicaId mId;
        final Duration mClockSkew = Duration.ofMillis(mRandom.nextInt(10_000));
        final Map<Long, Consumer<ControlEffect.Answer>> mCalls = new HashMap<>();
        ControlReducer mReducer;
        boolean mPartitioned;
        private final SimulatedDisk mDisk = new SimulatedDisk();
        private int mIncarnation;
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
            offer(new ControlEvent.ReplicaEvent(mDisk.recover()));
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
                Instant local = Instant.ofEpochMilli(now()).plus(mClockSkew);
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
                mDisk.markCommitted(m.index());
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
            mDiskBusyUntil = Math.max(now(), mDiskBusyUntil) + 1 + mRandom.nextInt(4);
            after(
                    mDiskBusyUntil - now(),
                    () -> {
                        if (incarnation == mIncarnation && mReducer != null) {
                            mDisk.write(p);
                            offer(
                                    new ControlEvent.ReplicaEvent(
                                            new ConsensusEvent.Persisted(p.sequence())));
                        }
                    });
        }
    }
}
