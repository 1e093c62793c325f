package org.laurelweir.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import org.laurelweir.consensus.ConsensusEvent;
import org.laurelweir.consensus.HardState;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.coordination.ControlConfig;
import org.laurelweir.coordination.ControlEffect;
import org.laurelweir.coordination.ControlEvent;
import org.laurelweir.coordination.ControlReducer;
import org.laurelweir.membership.Backend;

/**
 * Simulated control instances that exchange their membership, loads and crashes by messages. Their
 * replicated logs start with a snapshot of the settings and then stay as they are.
 */
public final class FleetControls {
    private static final int TICK_MILLIS = 20;
    private static final int MAX_TRANSIT_MILLIS = 4;
    private static final int ANNOUNCE_RETRY_MILLIS = 100;

    private final VirtualTime mTime;
    private final PresetState mState;
    private final List<Instance> mInstances = new ArrayList<>();
    private final Map<String, String> mAddresses = new TreeMap<>();
    private long mLastCall;

    /** Creates instances without settings that have just started. */
    public FleetControls(VirtualTime time, int count) {
        this(time, count, Map.of());
    }

    /**
     * Creates instances that have just started and know each other's addresses.
     *
     * @param settings the values of each settings node by its path
     */
    public FleetControls(VirtualTime time, int count, Map<String, Map<String, String>> settings) {
        mTime = time;
        mState = new PresetState(settings);
        for (int i = 0; i < count; i++) {
            mAddresses.put("c" + i, "c" + i);
        }
        mAddresses.keySet().forEach(name -> mInstances.add(new Instance(name)));
        mInstances.forEach(Instance::start);
        mInstances.forEach(i -> time.every(TICK_MILLIS, () -> i.step(new ControlEvent.Tick())));
    }

    /** Returns the number of instances, running or stopped. */
    public int count() {
        return mInstances.size();
    }

    /** Returns whether an instance is running. */
    public boolean isUp(int control) {
        return mInstances.get(control).mReducer != null;
    }

    /** Stops an instance. It loses its state. */
    public void stop(int control) {
        mInstances.get(control).mReducer = null;
    }

    /** Starts an instance without the state of its previous run. */
    public void start(int control) {
        mInstances.get(control).start();
    }

    /**
     * Announces a backend server to a random instance. If that instance is stopped, chooses another
     * random instance after {@value #ANNOUNCE_RETRY_MILLIS} ms.
     */
    public void announce(Supplier<Backend> announcement) {
        Backend backend = announcement.get();
        int control = mTime.random().nextInt(count());
        if (isUp(control)) {
            call(control, c -> new ControlEvent.BackendAnnounced(c, backend), a -> {});
        } else {
            mTime.after(ANNOUNCE_RETRY_MILLIS, () -> announce(announcement));
        }
    }

    /** Makes a call to an instance. A stopped instance never answers. */
    public void call(
            int control, LongFunction<ControlEvent> event, Consumer<ControlEffect.Answer> answer) {
        deliverAfterDelay(() -> mInstances.get(control).call(event, answer));
    }

    private void deliverAfterDelay(Runnable arrival) {
        mTime.afterRandomDelay(1, MAX_TRANSIT_MILLIS, arrival);
    }

    private Instance instance(String name) {
        return mInstances.stream().filter(i -> i.mName.equals(name)).findFirst().orElseThrow();
    }

    private final class Instance {
        private final String mName;
        private final Map<Long, Consumer<ControlEffect.Answer>> mCalls = new HashMap<>();
        private ControlReducer mReducer;
        private int mStarts;

        Instance(String name) {
            mName = name;
        }

        void start() {
            mStarts++;
            mCalls.clear();
            ControlConfig config =
                    ControlConfig.builder(new ReplicaId(mName, 1), mStarts, mAddresses).build();
            mReducer = new ControlReducer(config, mState, mTime.random().nextLong());
            step(
                    new ControlEvent.ReplicaEvent(
                            new ConsensusEvent.Recovered(
                                    HardState.INITIAL, PresetState.SNAPSHOT, List.of(), 0)));
        }

        void call(LongFunction<ControlEvent> event, Consumer<ControlEffect.Answer> answer) {
            long call = ++mLastCall;
            mCalls.put(call, answer);
            step(event.apply(call));
        }

        void step(ControlEvent event) {
            if (mReducer != null) {
                mReducer.step(mTime.instant(), event, this::onEffect);
            }
        }

        private void onEffect(ControlEffect effect) {
            if (effect instanceof ControlEffect.Answer a) {
                Consumer<ControlEffect.Answer> receiver = mCalls.remove(a.call());
                deliverAfterDelay(() -> receiver.accept(a));
            } else if (effect instanceof ControlEffect.KeepStreamRecord e) {
                confirmRecord(e.call());
            } else if (effect instanceof ControlEffect.RequestPeerUpdate e) {
                requestPeerUpdate(e);
            } else if (effect instanceof ControlEffect.AnnounceToPeers e) {
                ControlEvent event =
                        new ControlEvent.PeerAnnounced(e.announcements(), e.crashes(), e.loads());
                e.peers().forEach(p -> deliverAfterDelay(() -> instance(p).step(event)));
            }
        }

        /** Confirms a record at once, after the current step: the instances have no disk. */
        private void confirmRecord(long call) {
            ControlReducer asked = mReducer;
            mTime.after(
                    0,
                    () -> {
                        if (mReducer == asked) {
                            step(new ControlEvent.StreamRecordKept(call));
                        }
                    });
        }

        private void requestPeerUpdate(ControlEffect.RequestPeerUpdate e) {
            LongFunction<ControlEvent> request =
                    call ->
                            new ControlEvent.PeerUpdateRequested(
                                    call, mName, e.cursor(), e.crashesVersion(), e.withRouters());
            deliverAfterDelay(
                    () -> instance(e.peer()).call(request, a -> onPeerUpdate(e.peer(), a)));
        }

        private void onPeerUpdate(String peer, ControlEffect.Answer answer) {
            ControlEffect.AnswerPeerUpdate a = (ControlEffect.AnswerPeerUpdate) answer;
            step(
                    new ControlEvent.PeerUpdateReceived(
                            peer, a.update(), a.crashes(), a.routers(), a.status()));
        }
    }
}
