package org.laurelweir.quarantine;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.laurelweir.direct.AnswerMetadata;
import org.laurelweir.direct.DirectEffect;
import org.laurelweir.direct.DirectEvent;
import org.laurelweir.fleet.FleetBackends;
import org.laurelweir.fleet.FleetControls;
import org.laurelweir.fleet.VirtualTime;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;

/**
 * Backend servers at fixed addresses. One that begins to run a crashing request ends with all that
 * it runs, and another one starts at its address some seconds later.
 */
final class FleetServers implements FleetBackends {
    static final String SERVICE = "svc";
    static final String CRASHING_BODY = "crash";

    /** A request whose answers can't be taken, of servers that live on. */
    static final String SPOILED_BODY = "spoil";

    private static final int ANNOUNCE_MILLIS = 1200;
    private static final int DOWN_MILLIS = 2500;
    private static final int LEAST_CRASH_MILLIS = 40;
    private static final int MOST_CRASH_MILLIS = 200;
    private static final int LEAST_RUN_MILLIS = 50;
    private static final int MOST_RUN_MILLIS = 800;
    private static final int MOST_TRANSIT_MILLIS = 3;
    private static final AnswerMetadata GENUINE =
            new AnswerMetadata(false, false, true, Optional.empty());

    private static final AnswerMetadata SPOILED =
            new AnswerMetadata(false, false, false, Optional.empty());

    private static final AnswerMetadata OTHER_SERVER =
            new AnswerMetadata(true, true, true, Optional.empty());

    private final VirtualTime mTime;
    private final FleetControls mControls;
    private final Map<String, Server> mByAddress = new HashMap<>();
    private final List<Long> mCrashes = new ArrayList<>();
    private final List<Long> mCrashingArrivals = new ArrayList<>();
    private int mStarts;
    private boolean mMended;
    private AnswerMetadata mCrashingFacts = GENUINE;
    private int mSpoiledCuts;

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

    /** From now on a server that ends has first sent the head of an answer that can't be taken. */
    void spoilCrashingAnswers() {
        mCrashingFacts = SPOILED;
    }

    /** From now on a share of the spoiled answers is cut by the servers, which live on. */
    void cutSpoiledAnswers(int percent) {
        mSpoiledCuts = percent;
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
            end(all.get(mTime.random().nextInt(all.size())));
        }
    }

    @Override
    public void call(DirectEffect.BeginCall call, Consumer<DirectEvent> events) {
        transit(() -> arrive(call, events));
    }

    @Override
    public void cancel(long call, Consumer<DirectEvent> events) {
        mByAddress.values().forEach(s -> s.mRuns.remove(new RunId(events, call)));
    }

    private void transit(Runnable arrival) {
        mTime.afterRandomDelay(1, MOST_TRANSIT_MILLIS, arrival);
    }

    private void start(String address) {
        Server s = new Server(new BackendRef("s" + ++mStarts, mStarts), address);
        mByAddress.put(address, s);
        announce(s);
    }

    private void announce(Server s) {
        mControls.announce(
                () ->
                        new Backend(
                                s.mRef,
                                SERVICE,
                                "dc",
                                "rg",
                                s.mAddress,
                                Backend.State.SERVING,
                                64,
                                ++s.mAnnouncements));
    }

    private void arrive(DirectEffect.BeginCall call, Consumer<DirectEvent> events) {
        Server s = mByAddress.get(call.address());
        if (s == null) {
            DirectEvent.Failure failure = DirectEvent.Failure.NOT_SENT;
            DirectEvent refused = new DirectEvent.Failed(call.call(), failure, "refused");
            transit(() -> events.accept(refused));
        } else if (!s.mRef.equals(call.backend())) {
            answer(call, 421, OTHER_SERVER, events);
        } else {
            answer(call, 200, facts(call), events);
            run(s, call, new RunId(events, call.call()));
        }
    }

    private AnswerMetadata facts(DirectEffect.BeginCall call) {
        if (isCrashing(call) && !mMended) {
            return mCrashingFacts;
        }
        return hasBody(call, SPOILED_BODY) ? SPOILED : GENUINE;
    }

    private void answer(
            DirectEffect.BeginCall call,
            int status,
            AnswerMetadata facts,
            Consumer<DirectEvent> events) {
        DirectEvent head = new DirectEvent.HeadReceived(call.call(), status, List.of(), facts);
        transit(() -> events.accept(head));
    }

    private void run(Server s, DirectEffect.BeginCall call, RunId id) {
        s.mRuns.add(id);
        boolean crashing = isCrashing(call);
        if (crashing) {
            mCrashingArrivals.add(mTime.millis());
        }
        if (crashing && !mMended) {
            mTime.afterRandomDelay(LEAST_CRASH_MILLIS, MOST_CRASH_MILLIS, () -> crash(s, id));
        } else if (hasBody(call, SPOILED_BODY) && mTime.random().nextInt(100) < mSpoiledCuts) {
            mTime.afterRandomDelay(LEAST_CRASH_MILLIS, MOST_CRASH_MILLIS, () -> cut(s, id));
        } else {
            mTime.afterRandomDelay(LEAST_RUN_MILLIS, MOST_RUN_MILLIS, () -> finish(s, id));
        }
    }

    private static boolean isCrashing(DirectEffect.BeginCall call) {
        return hasBody(call, CRASHING_BODY);
    }

    private static boolean hasBody(DirectEffect.BeginCall call, String body) {
        return new String(call.request().call().body(), StandardCharsets.UTF_8).equals(body);
    }

    private void finish(Server s, RunId id) {
        if (s.mRuns.remove(id)) {
            transit(() -> id.events().accept(new DirectEvent.Finished(id.call())));
        }
    }

    /** The server ends the connection alone, and goes on with all else. */
    private void cut(Server s, RunId id) {
        if (s.mRuns.remove(id)) {
            transit(() -> id.events().accept(lost(id)));
        }
    }

    private static DirectEvent lost(RunId id) {
        DirectEvent.Failure failure = DirectEvent.Failure.CONNECTION_LOST;
        return new DirectEvent.Failed(id.call(), failure, "the connection ended");
    }

    /** One whose answer is spoiled is beyond saving, whether its router waits or not. */
    private void crash(Server s, RunId id) {
        boolean runs = s.mRuns.contains(id) || !mCrashingFacts.genuine();
        if (runs && mByAddress.get(s.mAddress) == s) {
            mCrashes.add(mTime.millis());
            end(s);
        }
    }

    private void end(Server s) {
        if (mByAddress.remove(s.mAddress, s)) {
            List<RunId> cut = List.copyOf(s.mRuns);
            s.mRuns.clear();
            for (RunId id : cut) {
                transit(() -> id.events().accept(lost(id)));
            }
            mTime.after(DOWN_MILLIS, () -> start(s.mAddress));
        }
    }

    /** A call of a router, which its events go back to. */
    private record RunId(Consumer<DirectEvent> events, long call) {}

    private static final class Server {
        private final BackendRef mRef;
        private final String mAddress;
        private final Set<RunId> mRuns = new LinkedHashSet<>();
        private int mAnnouncements;

        Server(BackendRef ref, String address) {
            mRef = ref;
            mAddress = address;
        }
    }
}
