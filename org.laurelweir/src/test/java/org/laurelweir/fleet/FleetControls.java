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
import org.laurelweir.consensus.Snapshot;
import org.laurelweir.coordination.ControlConfig;
import org.laurelweir.coordination.ControlEffect;
import org.laurelweir.coordination.ControlEvent;
import org.laurelweir.coordination.ControlReducer;
import org.laurelweir.membership.Backend;

/** Control instances that share what they hear over messages; the replicated log stays empty. */
public final class FleetControls {
    private static final int TICK_MILLIS = 20;
    private static final int MOST_TRANSIT_MILLIS = 4;
    private static final int ANNOUNCE_AGAIN_MILLIS = 100;

    private final VirtualTime mTime;
    private final List<Node> mNodes = new ArrayList<>();
    private final Map<String, String> mAddresses = new TreeMap<>();
    private long mLastCall;

    /** Creates instances that have just started, and know of each other. */
    public FleetControls(VirtualTime time, int count) {
        mTime = time;
        for (int i = 0; i < count; i++) {
            mAddresses.put("c" + i, "c" + i);
        }
        mAddresses.keySet().forEach(name -> mNodes.add(new Node(name)));
        mNodes.forEach(Node::start);
        mNodes.forEach(n -> time.every(TICK_MILLIS, () -> n.offer(new ControlEvent.Tick())));
    }

    public int count() {
        return mNodes.size();
    }

    public boolean isUp(int control) {
        return mNodes.get(control).mReducer != null;
    }

    public void stop(int control) {
        mNodes.get(control).mReducer = null;
    }

    /** Starts an instance anew; it knows nothing of before. */
    public void start(int control) {
        mNodes.get(control).start();
    }

    /** A backend server announces itself to some instance, soon to another if that one is down. */
    public void announce(Supplier<Backend> announcement) {
        Backend b = announcement.get();
        int control = mTime.random().nextInt(count());
        if (isUp(control)) {
            call(control, c -> new ControlEvent.BackendAnnounced(c, b), a -> {});
        } else {
            mTime.after(ANNOUNCE_AGAIN_MILLIS, () -> announce(announcement));
        }
    }

    /** Makes a call; it is never answered by an instance that is down. */
    public void call(
            int control, LongFunction<ControlEvent> event, Consumer<ControlEffect.Answer> answer) {
        transit(() -> mNodes.get(control).call(event, answer));
    }

    private void transit(Runnable arrival) {
        mTime.afterRandomDelay(1, MOST_TRANSIT_MILLIS, arrival);
    }

    private Node node(String name) {
        return mNodes.stream().filter(n -> n.mName.equals(name)).findFirst().orElseThrow();
    }

    private final class Node {
        private final String mName;
        private final Map<Long, Consumer<ControlEffect.Answer>> mCalls = new HashMap<>();
        private ControlReducer mReducer;
        private int mStarts;

        Node(String name) {
            mName = name;
        }

        void start() {
            mStarts++;
            mCalls.clear();
            ControlConfig config =
                    ControlConfig.builder(new ReplicaId(mName, 1), mStarts, mAddresses).build();
            mReducer = new ControlReducer(config, null, mTime.random().nextLong());
            offer(
                    new ControlEvent.ReplicaEvent(
                            new ConsensusEvent.Recovered(
                                    HardState.INITIAL, Snapshot.NONE, List.of(), 0)));
        }

        void call(LongFunction<ControlEvent> event, Consumer<ControlEffect.Answer> answer) {
            long call = ++mLastCall;
            mCalls.put(call, answer);
            offer(event.apply(call));
        }

        void offer(ControlEvent event) {
            if (mReducer != null) {
                mReducer.step(mTime.instant(), event, this::take);
            }
        }

        private void take(ControlEffect effect) {
            if (effect instanceof ControlEffect.Answer a) {
                Consumer<ControlEffect.Answer> taker = mCalls.remove(a.call());
                transit(() -> taker.accept(a));
            } else if (effect instanceof ControlEffect.RequestPeerUpdate e) {
                ask(e);
            } else if (effect instanceof ControlEffect.AnnounceToPeers e) {
                ControlEvent event =
                        new ControlEvent.PeerAnnounced(e.announcements(), e.crashes(), e.loads());
                e.peers().forEach(p -> transit(() -> node(p).offer(event)));
            }
        }

        private void ask(ControlEffect.RequestPeerUpdate e) {
            LongFunction<ControlEvent> question =
                    call ->
                            new ControlEvent.PeerUpdateRequested(
                                    call, mName, e.cursor(), e.crashesSeen(), e.withRouters());
            transit(() -> node(e.peer()).call(question, a -> answered(e.peer(), a)));
        }

        private void answered(String peer, ControlEffect.Answer answer) {
            ControlEffect.AnswerPeerUpdate a = (ControlEffect.AnswerPeerUpdate) answer;
            offer(
                    new ControlEvent.PeerUpdateReceived(
                            peer, a.share(), a.crashes(), a.routers(), a.status()));
        }
    }
}
