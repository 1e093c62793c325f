package org.laurelweir.control.history;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.laurelweir.consensus.ConsensusConfig;
import org.laurelweir.consensus.ConsensusEffect;
import org.laurelweir.consensus.ConsensusEvent;
import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.coordination.Command;
import org.laurelweir.coordination.ControlConfig;
import org.laurelweir.coordination.ControlEffect;
import org.laurelweir.coordination.ControlEvent;
import org.laurelweir.coordination.ControlInstanceStatus;
import org.laurelweir.coordination.ControlReducer;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.settings.NodePath;
import org.laurelweir.wire.CommandCodec;

/**
 * Simulates control instances that join by themselves: their messages, updates, disks and clocks
 * are driven by one seed. Instances lose power, disks and connections, and are replaced at other
 * addresses.
 */
final class JoiningControls {
    private static final int TICK_MILLIS = 20;
    private static final Duration ELECTION_TIMEOUT = Duration.ofMillis(600);
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(100);
    private static final int ENTRIES_PER_SNAPSHOT = 40;
    private static final int MAX_CLOCK_SKEW_MILLIS = 10_000;
    private static final int MAX_TRANSIT_MILLIS = 15;
    private static final int MAX_SYNC_MILLIS = 4;
    private static final int SNAPSHOT_MILLIS = 5;
    private static final int RETRY_MILLIS = 100;
    private static final int HANDOVER_MILLIS = 1_000;

    final Random mRandom;
    final SimulatedTime mTime = new SimulatedTime();
    private final Duration mElectionTimeout;
    private final Duration mHeartbeatInterval;
    private final Map<String, Instance> mInstances = new TreeMap<>();
    private long mLastCall;
    private int mAddresses;
    private int mChanges;

    /** Creates instances that have just started with empty disks, and of which the first vote. */
    JoiningControls(int instances, int firstVoters, long seed) {
        this(instances, firstVoters, seed, ELECTION_TIMEOUT, HEARTBEAT_INTERVAL);
    }

    /** The same with other times of the log's leader. */
    JoiningControls(
            int instances, int firstVoters, long seed, Duration election, Duration heartbeat) {
        mElectionTimeout = election;
        mHeartbeatInterval = heartbeat;
        mRandom = new Random(seed);
        for (int i = 0; i < instances; i++) {
            create(true);
        }
        List<Instance> all = instances();
        all.forEach(m -> m.mSeeds.addAll(mInstances.keySet()));
        all.forEach(Instance::start);
        List<ReplicaId> first = all.stream().limit(firstVoters).map(m -> m.mId).toList();
        ConsensusEvent bootstrap = new ConsensusEvent.Bootstrapped(Membership.ofVoters(first));
        all.get(0).offer(new ControlEvent.ReplicaEvent(bootstrap));
    }

    /** Returns all instances that are not lost for good, whether they run or not. */
    List<Instance> instances() {
        return new ArrayList<>(mInstances.values());
    }

    void run(long millis) {
        mTime.run(millis);
    }

    /** Starts an instance with an empty disk, or without a disk, at an address not used before. */
    Instance add(boolean durable) {
        Instance instance = create(durable);
        instance.mSeeds.addAll(mInstances.keySet());
        instance.start();
        return instance;
    }

    private Instance create(boolean durable) {
        Instance instance = new Instance(String.format("10.0.0.%03d:1", ++mAddresses), durable);
        mInstances.put(instance.mAddress, instance);
        return instance;
    }

    /** Returns the newest membership that a leader reports; empty if there is no leader. */
    Optional<Membership> membership() {
        return leader().map(m -> m.mStatus.members());
    }

    /** Returns the running instance that leads the highest term, as they last reported. */
    Optional<Instance> leader() {
        return mInstances.values().stream()
                .filter(m -> m.isUp() && m.mStatus != null && m.mStatus.leader())
                .max((a, b) -> Long.compare(a.mStatus.term(), b.mStatus.term()));
    }

    /**
     * Sends a change that creates a settings node until it is accepted.
     *
     * @param millis the time after which to give up
     * @return whether it was accepted
     */
    boolean change(String path, long millis) {
        Command.NodeChange node = new Command.NodeChange(path, 0, Map.of(), List.of(), false);
        Command change =
                new Command.ChangeSettings(
                        Instant.EPOCH, "change-" + ++mChanges, "operator", List.of(node));
        return ask(
                call -> new ControlEvent.CommandReceived(call, change),
                a ->
                        a instanceof ControlEffect.AnswerCommand c
                                && c.result().code() == ResultCode.OK,
                millis);
    }

    /**
     * Reads a settings node, linearizably, until it is answered.
     *
     * @param millis the time after which to give up
     * @return whether it was answered and the node exists
     */
    boolean canRead(String path, long millis) {
        return ask(
                call -> new ControlEvent.SettingsRequested(call, NodePath.parse(path), true, 0),
                a -> a instanceof ControlEffect.AnswerSettings s && !s.nodes().isEmpty(),
                millis);
    }

    private boolean ask(
            LongFunction<ControlEvent> event, Predicate<ControlEffect.Answer> wanted, long millis) {
        boolean[] answered = new boolean[1];
        long end = mTime.now() + millis;
        while (!answered[0] && mTime.now() < end) {
            instances().forEach(m -> m.call(event, a -> answered[0] |= wanted.test(a)));
            run(RETRY_MILLIS);
        }
        return answered[0];
    }

    private void deliver(Instance from, String to, Consumer<Instance> message) {
        mTime.after(
                1 + mRandom.nextInt(MAX_TRANSIT_MILLIS),
                () -> {
                    Instance receiver = mInstances.get(to);
                    if (receiver != null && receiver.isUp() && from.isConnected(receiver)) {
                        message.accept(receiver);
                    }
                });
    }

    /** A simulated instance with its disk. */
    final class Instance {
        final String mAddress;
        private final boolean mDurable;
        private final Duration mClockSkew =
                Duration.ofMillis(mRandom.nextInt(MAX_CLOCK_SKEW_MILLIS));
        private final List<String> mSeeds = new ArrayList<>();
        private final Map<Long, Consumer<ControlEffect.Answer>> mCalls = new HashMap<>();
        ReplicaId mId;
        boolean mCutOff;
        ControlInstanceStatus mStatus;
        private SimulatedDisk mDisk;
        private ControlEffect mLastHandover;
        private ControlReducer mReducer;
        private int mIncarnation;
        private long mDiskBusyUntil;

        Instance(String address, boolean durable) {
            mAddress = address;
            mDurable = durable;
            replaceDisk();
        }

        private void replaceDisk() {
            mDisk = new SimulatedDisk();
            mId =
                    new ReplicaId(
                            mAddress,
                            mDurable
                                    ? ReplicaId.durableStorageId(mRandom::nextLong)
                                    : ReplicaId.volatileStorageId(mRandom::nextLong));
        }

        boolean isUp() {
            return mReducer != null;
        }

        /** Returns whether messages between this instance and another one arrive. */
        boolean isConnected(Instance other) {
            return !mCutOff && !other.mCutOff;
        }

        /** Cuts the power. Only what was synced is there at the next start. */
        void stop() {
            mIncarnation++;
            mReducer = null;
            mStatus = null;
            mCalls.clear();
        }

        /** Lets the disk take no write for some time. */
        void hangDisk(long millis) {
            mDiskBusyUntil = mTime.now() + millis;
        }

        /** Stops in order: hands over the leadership and the vote first, for a second at most. */
        void shutDown() {
            offerUntil(
                    new ConsensusEvent.LeadershipTransferRequested(),
                    ControlEffect.LeadershipTransferEnded.class);
            offerUntil(new ConsensusEvent.Leaving(), ControlEffect.VoteHandedOver.class);
            stop();
        }

        private void offerUntil(ConsensusEvent event, Class<? extends ControlEffect> wanted) {
            mLastHandover = null;
            offer(new ControlEvent.ReplicaEvent(event));
            long end = mTime.now() + HANDOVER_MILLIS;
            while (!wanted.isInstance(mLastHandover) && mTime.now() < end) {
                run(1);
            }
        }

        /** Cuts the power and replaces the disk by an empty one. */
        void wipe() {
            stop();
            replaceDisk();
        }

        /** Takes the instance away for good. */
        void lose() {
            stop();
            mInstances.remove(mAddress);
        }

        void start() {
            if (isUp() || !mInstances.containsKey(mAddress)) {
                return;
            }
            if (!mDurable) {
                replaceDisk();
            }
            mIncarnation++;
            mReducer = new ControlReducer(config(), new CommandCodec(), mRandom.nextLong());
            offer(new ControlEvent.ReplicaEvent(mDisk.recover()));
            tick(mIncarnation);
        }

        private ControlConfig config() {
            ConsensusConfig consensus =
                    ConsensusConfig.builder()
                            .electionTimeout(mElectionTimeout)
                            .heartbeatInterval(mHeartbeatInterval)
                            .snapshotPolicy(ENTRIES_PER_SNAPSHOT, ENTRIES_PER_SNAPSHOT / 4, 4096)
                            .build();
            Map<String, String> addresses =
                    mSeeds.stream().collect(Collectors.toMap(s -> s, s -> s));
            return ControlConfig.builder(mId, mIncarnation, addresses)
                    .autoJoin(true)
                    .consensus(consensus)
                    .build();
        }

        private void tick(int incarnation) {
            if (incarnation == mIncarnation) {
                offer(new ControlEvent.Tick());
                mTime.after(TICK_MILLIS, () -> tick(incarnation));
            }
        }

        void offer(ControlEvent event) {
            if (isUp()) {
                Instant local = Instant.ofEpochMilli(mTime.now()).plus(mClockSkew);
                mReducer.step(local, event, this::execute);
            }
        }

        private void offerLater(long millis, ControlEvent event) {
            int incarnation = mIncarnation;
            mTime.after(
                    millis,
                    () -> {
                        if (incarnation == mIncarnation) {
                            offer(event);
                        }
                    });
        }

        /** Makes a call. It is lost if the instance is stopped or stops before it answers. */
        void call(LongFunction<ControlEvent> event, Consumer<ControlEffect.Answer> answer) {
            long call = ++mLastCall;
            mCalls.put(call, answer);
            offer(event.apply(call));
        }

        private void execute(ControlEffect effect) {
            if (effect instanceof ControlEffect.Answer a) {
                answer(a);
            } else if (effect instanceof ControlEffect.SendToReplica s) {
                send(s.send());
            } else if (effect instanceof ControlEffect.Persist p) {
                persist(p.persist());
            } else if (effect instanceof ControlEffect.MarkCommitted m) {
                mDisk.markCommitted(m.index());
            } else if (effect instanceof ControlEffect.LeadershipTransferEnded
                    || effect instanceof ControlEffect.VoteHandedOver) {
                mLastHandover = effect;
            } else if (effect instanceof ControlEffect.RequestPeerUpdate r) {
                requestPeerUpdate(r);
            } else if (effect instanceof ControlEffect.EncodeSnapshot s) {
                byte[] state = new CommandCodec().encode(s.snapshot());
                ConsensusEvent taken = new ConsensusEvent.SnapshotTaken(s.index(), state);
                offerLater(SNAPSHOT_MILLIS, new ControlEvent.ReplicaEvent(taken));
            } else if (effect instanceof ControlEffect.ReportStatus r) {
                mStatus = r.self();
            }
        }

        private void answer(ControlEffect.Answer answer) {
            Consumer<ControlEffect.Answer> callback = mCalls.remove(answer.call());
            if (callback != null) {
                callback.accept(answer);
            }
        }

        private void send(ConsensusEffect.Send s) {
            ReplicaId from = mId;
            deliver(
                    this,
                    s.to().name(),
                    to -> {
                        if (to.mId.equals(s.to())) {
                            ConsensusEvent received =
                                    new ConsensusEvent.MessageReceived(from, s.message());
                            to.offer(new ControlEvent.ReplicaEvent(received));
                        }
                    });
        }

        private void requestPeerUpdate(ControlEffect.RequestPeerUpdate r) {
            int incarnation = mIncarnation;
            LongFunction<ControlEvent> request =
                    call ->
                            new ControlEvent.PeerUpdateRequested(
                                    call,
                                    mAddress,
                                    r.cursor(),
                                    r.crashesVersion(),
                                    r.withRouters());
            deliver(
                    this,
                    r.peer(),
                    to -> to.call(request, a -> returnPeerUpdate(to, incarnation, a)));
        }

        private void returnPeerUpdate(Instance peer, int incarnation, ControlEffect.Answer answer) {
            ControlEffect.AnswerPeerUpdate a = (ControlEffect.AnswerPeerUpdate) answer;
            deliver(
                    peer,
                    mAddress,
                    to -> {
                        if (incarnation == mIncarnation) {
                            offer(
                                    new ControlEvent.PeerUpdateReceived(
                                            peer.mAddress,
                                            a.update(),
                                            a.crashes(),
                                            a.routers(),
                                            a.status()));
                        }
                    });
        }

        /** Writes to the disk in order, after a delay. A loss of power loses what is not synced. */
        private void persist(ConsensusEffect.Persist p) {
            int incarnation = mIncarnation;
            mDiskBusyUntil =
                    Math.max(mTime.now(), mDiskBusyUntil) + 1 + mRandom.nextInt(MAX_SYNC_MILLIS);
            mTime.after(
                    mDiskBusyUntil - mTime.now(),
                    () -> {
                        if (incarnation == mIncarnation) {
                            mDisk.write(p);
                            ConsensusEvent synced = new ConsensusEvent.Persisted(p.sequence());
                            offer(new ControlEvent.ReplicaEvent(synced));
                        }
                    });
        }
    }
}
