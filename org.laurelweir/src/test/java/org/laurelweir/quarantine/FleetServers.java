package org.laurelweir.quarantine;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.laurelweir.answer.BodyFraming;
import org.laurelweir.direct.AnswerMetadata;
import org.laurelweir.direct.DirectEffect;
import org.laurelweir.direct.DirectEvent;
import org.laurelweir.direct.DirectEvent.Reachability;
import org.laurelweir.fleet.FleetBackends;
import org.laurelweir.fleet.FleetControls;
import org.laurelweir.fleet.VirtualTime;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;

/**
 * Simulated backend servers at fixed addresses in virtual time. A server that runs the crashing
 * request crashes with all its requests, and a new server starts at its address some seconds later.
 */
final class FleetServers implements FleetBackends {
    static final String SERVICE = "svc";

    /** Body of the request that crashes servers. */
    static final String CRASHING_BODY = "crash";

    /** Id of the part of a prompt that crashes servers, whatever else the request holds. */
    static final long CRASHING_PART = 0xbadL;

    /** Body of a request to which servers send invalid answers without crashing. */
    static final String INVALID_ANSWER_BODY = "spoil";

    /** A stream that may be complete. */
    static final String WHOLE_STREAM = "id: 1\ndata: a\n\n";

    private static final int ANNOUNCE_INTERVAL_MILLIS = 1200;
    private static final int DOWN_MILLIS = 2500;
    private static final int MIN_CRASH_MILLIS = 40;
    private static final int MAX_CRASH_MILLIS = 200;
    private static final int MIN_RUN_MILLIS = 50;
    private static final int MAX_RUN_MILLIS = 800;
    private static final int MAX_TRANSIT_MILLIS = 3;
    private static final AnswerMetadata GENUINE =
            new AnswerMetadata(false, false, true, BodyFraming.LENGTH, Optional.empty());

    private static final AnswerMetadata INVALID =
            new AnswerMetadata(false, false, false, BodyFraming.LENGTH, Optional.empty());

    /** The metadata of an answer that ends with its connection. */
    private static final AnswerMetadata UNFRAMED =
            new AnswerMetadata(false, false, true, BodyFraming.CONNECTION, Optional.empty());

    private static final AnswerMetadata MISDIRECTED =
            new AnswerMetadata(true, true, true, BodyFraming.LENGTH, Optional.empty());

    private final VirtualTime mTime;
    private final FleetControls mControls;
    private final Map<String, Server> mByAddress = new HashMap<>();
    private final List<Long> mCrashes = new ArrayList<>();
    private final List<Long> mCrashingArrivals = new ArrayList<>();
    private final Set<String> mBegunBodies = new HashSet<>();
    private int mStarts;
    private boolean mRepaired;
    private AnswerMetadata mCrashingMetadata = GENUINE;
    private AnswerMetadata mGenuineMetadata = GENUINE;
    private String mBodyBeforeCrash = "";
    private int mInvalidAnswerCutPercent;

    FleetServers(VirtualTime time, FleetControls controls, int count) {
        mTime = time;
        mControls = controls;
        for (int i = 0; i < count; i++) {
            start("10.0.0." + i + ":80");
        }
        time.every(ANNOUNCE_INTERVAL_MILLIS, () -> mByAddress.values().forEach(this::announce));
    }

    /** From now on, servers run the crashing request like any other. */
    void repair() {
        mRepaired = true;
    }

    /** From now on, a server sends the head of an invalid answer before it crashes. */
    void invalidateCrashingAnswers() {
        mCrashingMetadata = INVALID;
    }

    /**
     * From now on, answers to the crashing request end with their connection, and a crash closes
     * that connection in order.
     *
     * @param body what the server sends before it crashes
     */
    void endCrashingAnswersWithTheirConnection(String body) {
        mCrashingMetadata = UNFRAMED;
        mBodyBeforeCrash = body;
    }

    /** From now on, every answer ends with its connection, at a crash too. */
    void endAllAnswersWithTheirConnection() {
        mGenuineMetadata = UNFRAMED;
        endCrashingAnswersWithTheirConnection(WHOLE_STREAM);
    }

    /** From now on, live servers cut this share of the invalid answers. */
    void cutInvalidAnswers(int percent) {
        mInvalidAnswerCutPercent = percent;
    }

    /** Returns the times of the crashes under the crashing request, in milliseconds. */
    List<Long> crashTimes() {
        return mCrashes;
    }

    /** Returns the times at which the crashing request reached servers, in milliseconds. */
    List<Long> crashingArrivalTimes() {
        return mCrashingArrivals;
    }

    /** Returns the bodies of the requests that a server has begun to run. */
    Set<String> begunBodies() {
        return mBegunBodies;
    }

    /** Crashes a random server independent of its requests. */
    void crashOne() {
        List<Server> all = List.copyOf(mByAddress.values());
        if (!all.isEmpty()) {
            crash(all.get(mTime.random().nextInt(all.size())));
        }
    }

    @Override
    public void call(DirectEffect.BeginCall call, Consumer<DirectEvent> events) {
        transit(() -> arrive(call, events));
    }

    @Override
    public void check(DirectEffect.CheckBackend check, Consumer<DirectEvent> events) {
        transit(
                () -> {
                    boolean listens = mByAddress.containsKey(check.address());
                    Reachability result = listens ? Reachability.ACCEPTS : Reachability.REFUSES;
                    transit(
                            () ->
                                    events.accept(
                                            new DirectEvent.BackendChecked(check.check(), result)));
                });
    }

    @Override
    public void cancel(long call, Consumer<DirectEvent> events) {
        mByAddress.values().forEach(s -> s.mCalls.remove(new CallId(events, call)));
    }

    private void transit(Runnable arrival) {
        mTime.afterRandomDelay(1, MAX_TRANSIT_MILLIS, arrival);
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
            answer(call, 421, MISDIRECTED, events);
        } else {
            answer(call, 200, metadata(call), events);
            run(s, call, new CallId(events, call.call()));
        }
    }

    private AnswerMetadata metadata(DirectEffect.BeginCall call) {
        if (isCrashing(call) && !mRepaired) {
            return mCrashingMetadata;
        }
        return hasBody(call, INVALID_ANSWER_BODY) ? INVALID : mGenuineMetadata;
    }

    private void answer(
            DirectEffect.BeginCall call,
            int status,
            AnswerMetadata metadata,
            Consumer<DirectEvent> events) {
        DirectEvent head = new DirectEvent.HeadReceived(call.call(), status, List.of(), metadata);
        transit(() -> events.accept(head));
    }

    private void run(Server s, DirectEffect.BeginCall call, CallId id) {
        s.mCalls.add(id);
        mBegunBodies.add(body(call));
        boolean crashing = isCrashing(call);
        if (crashing) {
            mCrashingArrivals.add(mTime.millis());
        }
        if (crashing && !mRepaired) {
            mTime.afterRandomDelay(MIN_CRASH_MILLIS, MAX_CRASH_MILLIS, () -> crashUnder(s, id));
        } else if (hasBody(call, INVALID_ANSWER_BODY)
                && mTime.random().nextInt(100) < mInvalidAnswerCutPercent) {
            mTime.afterRandomDelay(MIN_CRASH_MILLIS, MAX_CRASH_MILLIS, () -> cutConnection(s, id));
        } else {
            mTime.afterRandomDelay(MIN_RUN_MILLIS, MAX_RUN_MILLIS, () -> finish(s, id));
        }
    }

    private static boolean isCrashing(DirectEffect.BeginCall call) {
        return hasBody(call, CRASHING_BODY) || hasPart(call, CRASHING_PART);
    }

    private static boolean hasPart(DirectEffect.BeginCall call, long part) {
        return call.request().prompt().parts().stream().anyMatch(p -> p.id() == part);
    }

    private static boolean hasBody(DirectEffect.BeginCall call, String body) {
        return body(call).equals(body);
    }

    private static String body(DirectEffect.BeginCall call) {
        return new String(call.request().call().body(), StandardCharsets.UTF_8);
    }

    private void finish(Server s, CallId id) {
        if (s.mCalls.remove(id)) {
            closeInOrder(id, WHOLE_STREAM);
        }
    }

    /** Closes the connection of one call; the server continues with all other calls. */
    private void cutConnection(Server s, CallId id) {
        if (s.mCalls.remove(id)) {
            transit(() -> id.events().accept(connectionLost(id)));
        }
    }

    private static DirectEvent connectionLost(CallId id) {
        DirectEvent.Failure failure = DirectEvent.Failure.CONNECTION_LOST;
        return new DirectEvent.Failed(id.call(), failure, "the connection ended");
    }

    /** A server crashes after an invalid answer even if its router has cancelled the call. */
    private void crashUnder(Server s, CallId id) {
        boolean runs = s.mCalls.contains(id) || !mCrashingMetadata.genuine();
        if (runs && mByAddress.get(s.mAddress) == s) {
            mCrashes.add(mTime.millis());
            if (!mCrashingMetadata.framing().provesEnd()) {
                s.mCalls.remove(id);
                closeInOrder(id, mBodyBeforeCrash);
            }
            crash(s);
        }
    }

    private void closeInOrder(CallId id, String text) {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        transit(
                () -> {
                    id.events().accept(new DirectEvent.DataReceived(id.call(), body));
                    id.events().accept(new DirectEvent.Finished(id.call()));
                });
    }

    private void crash(Server s) {
        if (mByAddress.remove(s.mAddress, s)) {
            List<CallId> calls = List.copyOf(s.mCalls);
            s.mCalls.clear();
            for (CallId id : calls) {
                if (mGenuineMetadata.framing().provesEnd()) {
                    transit(() -> id.events().accept(connectionLost(id)));
                } else {
                    closeInOrder(id, WHOLE_STREAM);
                }
            }
            mTime.after(DOWN_MILLIS, () -> start(s.mAddress));
        }
    }

    /** Identifies a call by its number and the receiver of its events. */
    private record CallId(Consumer<DirectEvent> events, long call) {}

    private static final class Server {
        private final BackendRef mRef;
        private final String mAddress;
        private final Set<CallId> mCalls = new LinkedHashSet<>();
        private int mAnnouncements;

        Server(BackendRef ref, String address) {
            mRef = ref;
            mAddress = address;
        }
    }
}
