package org.laurelweir.quarantine;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.laurelweir.coordination.ControlEvent;
import org.laurelweir.direct.AnswerFacts;
import org.laurelweir.direct.DirectEffect;
import org.laurelweir.direct.DirectEvent;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;

/**
 * Backend servers at fixed addresses. One that begins to run a crashing request ends with all that
 * it runs, and another one starts at its address some seconds later.
 */
final class FleetServers {
    static final String SERVICE = "svc";
    static final String CRASHING_BODY = "crash";

    private static final int ANNOUNCE_MILLIS = 1200;
    private static final int DOWN_MILLIS = 2500;
    private static final int LEAST_CRASH_MILLIS = 40;
    private static final int MOST_CRASH_MILLIS = 200;
    private static final int LEAST_RUN_MILLIS = 50;
    private static final int MOST_RUN_MILLIS = 800;
    private static final int MOST_TRANSIT_MILLIS = 3;
    private static final AnswerFacts GENUINE =
            new AnswerFacts(false, false, true, Optional.empty());

    private final VirtualTime mTime;
    private final FleetControls mControls;
    private final Map<String, Server> mByAddress = new HashMap<>();
    private final List<Long> mCrashes = new ArrayList<>();
    private final List<Long> mCrashingArrivals = new ArrayList<>();
    private int mStarts;
    private boolean mMended;

    FleetServers(VirtualTime time, FleetControls controls, int count) {
        mTime = time;
        mControls = controls;
        for (int i = 0; i < count; i++) {
            start("10.0.0." + i + ":80");
        }
        time.every(ANNOUNCE_MILLIS, () -> mByAddress.values().forEach(this::announce));
    }

    /** From now on the crashing request is run like any other. */
    void mend() {
        mMended = true;
    }

    /** When servers ended under the crashing request, in milliseconds. */
    List<Long> crashes() {
        return mCrashes;
    }

    /** When the crashing request reached servers, in milliseconds. */
    List<Long> crashingArrivals() {
        return mCrashingArrivals;
    }

    /** One server ends by itself. */
    void crashOne() {
        List<Server> all = List.copyOf(mByAddress.values());
        if (!all.isEmpty()) {
            end(all.get(mTime.mRandom.nextInt(all.size())));
        }
    }

    /** A router calls a server; the events are what the router sees of it. */
    void call(DirectEffect.BeginCall call, Consumer<DirectEvent> events) {
        transit(() -> arrive(call, events));
    }

    /** A router closed its connection. */
    void cancel(long call, Consumer<DirectEvent> events) {
        mByAddress.values().forEach(s -> s.mRuns.remove(new RunId(events, call)));
    }

    private void transit(Runnable arrival) {
        mTime.between(1, MOST_TRANSIT_MILLIS, arrival);
    }

    private void start(String address) {
        Server s = new Server(new BackendRef("s" + ++mStarts, mStarts), address);
        mByAddress.put(address, s);
        announce(s);
    }

    private void announce(Server s) {
        Backend b =
                new Backend(
                        s.mRef,
                        SERVICE,
                        "dc",
                        "rg",
                        s.mAddress,
                        Backend.State.SERVING,
                        64,
                        ++s.mAnnouncements);
        int control = mTime.mRandom.nextInt(mControls.count());
        if (mControls.isUp(control)) {
            mControls.call(control, c -> new ControlEvent.BackendAnnounced(c, b), a -> {});
        } else {
            mTime.after(100, () -> announce(s));
        }
    }

    private void arrive(DirectEffect.BeginCall call, Consumer<DirectEvent> events) {
        Server s = mByAddress.get(call.address());
        if (s == null) {
            DirectEvent refused =
                    new DirectEvent.Failed(call.call(), DirectEvent.Failure.NOT_SENT, "refused");
            transit(() -> events.accept(refused));
            return;
        }
        if (!s.mRef.equals(call.backend())) {
            AnswerFacts other = new AnswerFacts(true, true, true, Optional.empty());
            DirectEvent e = new DirectEvent.Answered(call.call(), 421, List.of(), other);
            transit(() -> events.accept(e));
            return;
        }
        RunId id = new RunId(events, call.call());
        s.mRuns.put(id, call);
        DirectEvent head = new DirectEvent.Answered(call.call(), 200, List.of(), GENUINE);
        transit(() -> events.accept(head));
        if (isCrashing(call)) {
            mCrashingArrivals.add(mTime.millis());
        }
        if (isCrashing(call) && !mMended) {
            mTime.between(LEAST_CRASH_MILLIS, MOST_CRASH_MILLIS, () -> crash(s, id));
        } else {
            mTime.between(LEAST_RUN_MILLIS, MOST_RUN_MILLIS, () -> finish(s, id));
        }
    }

    private static boolean isCrashing(DirectEffect.BeginCall call) {
        return new String(call.request().call().body(), StandardCharsets.UTF_8)
                .equals(CRASHING_BODY);
    }

    private void finish(Server s, RunId id) {
        if (s.mRuns.remove(id) != null) {
            transit(() -> id.mEvents().accept(new DirectEvent.Finished(id.mCall())));
        }
    }

    private void crash(Server s, RunId id) {
        if (s.mRuns.containsKey(id)) {
            mCrashes.add(mTime.millis());
            end(s);
        }
    }

    private void end(Server s) {
        if (mByAddress.remove(s.mAddress, s)) {
            List<RunId> cut = List.copyOf(s.mRuns.keySet());
            s.mRuns.clear();
            for (RunId id : cut) {
                DirectEvent lost =
                        new DirectEvent.Failed(
                                id.mCall(),
                                DirectEvent.Failure.CONNECTION_LOST,
                                "the connection ended");
                transit(() -> id.mEvents().accept(lost));
            }
            mTime.after(DOWN_MILLIS, () -> start(s.mAddress));
        }
    }

    private record RunId(Consumer<DirectEvent> mEvents, long mCall) {}

    private static final class Server {
        private final BackendRef mRef;
        private final String mAddress;
        private final Map<RunId, DirectEffect.BeginCall> mRuns = new LinkedHashMap<>();
        private int mAnnouncements;

        Server(BackendRef ref, String address) {
            mRef = ref;
            mAddress = address;
        }
    }
}
