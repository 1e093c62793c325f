package org.laurelweir.resumption;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
 * Simulated backend servers of several software versions in virtual time. Each event of their
 * streams tells the version that wrote it. Streams break off, servers crash, and others of the same
 * or another version start at their addresses.
 */
final class VersionedServers implements FleetBackends {
    static final String SERVICE = "svc";

    /** Number of events of a whole stream. */
    static final int EVENTS = 8;

    private static final int ANNOUNCE_INTERVAL_MILLIS = 1200;
    private static final int MAX_ANNOUNCE_DELAY_MILLIS = 2500;
    private static final int LATE_ANNOUNCEMENT_PERCENT = 5;
    private static final int DRAIN_MILLIS = 2000;
    private static final int MAX_TRANSIT_MILLIS = 3;
    private static final int MIN_EVENT_MILLIS = 20;
    private static final int MAX_EVENT_MILLIS = 150;
    private static final int BREAK_PERCENT = 40;
    private static final int SLOTS = 64;
    private static final AnswerMetadata GENUINE =
            new AnswerMetadata(false, false, true, BodyFraming.CHUNKS, Optional.empty());
    private static final AnswerMetadata MISDIRECTED =
            new AnswerMetadata(true, true, true, BodyFraming.LENGTH, Optional.empty());

    private final VirtualTime mTime;
    private final FleetControls mControls;
    private final Map<String, Server> mByAddress = new LinkedHashMap<>();
    private final Map<CallId, Server> mCalls = new LinkedHashMap<>();
    private boolean mMayBeLate = true;
    private long mLastIncarnation;
    private int mStarts;

    VersionedServers(VirtualTime time, FleetControls controls) {
        mTime = time;
        mControls = controls;
        time.every(
                ANNOUNCE_INTERVAL_MILLIS,
                () -> List.copyOf(mByAddress.values()).forEach(this::announce));
    }

    /** A server; {@code mRef} names its present run. */
    static final class Server {
        private final BackendRef mRef;
        private final String mAddress;
        private final String mVersion;
        private Backend.State mState = Backend.State.SERVING;
        private int mAnnouncements;

        Server(BackendRef ref, String address, String version) {
            mRef = ref;
            mAddress = address;
            mVersion = version;
        }

        boolean isServing() {
            return mState == Backend.State.SERVING;
        }

        String version() {
            return mVersion;
        }
    }

    /** From now on, no announcement is late. */
    void announceInTime() {
        mMayBeLate = false;
    }

    /** Returns the servers that run, in the order of their addresses' first use. */
    List<Server> running() {
        return new ArrayList<>(mByAddress.values());
    }

    /** Returns how many servers of a version accept new requests. */
    long servingCount(String version) {
        return mByAddress.values().stream()
                .filter(s -> s.isServing() && s.mVersion.equals(version))
                .count();
    }

    /** Starts a server at a new address. */
    void start(String version) {
        int number = ++mStarts;
        start("s" + number, "10.0.0." + number + ":80", version);
    }

    private void start(String id, String address, String version) {
        BackendRef ref = new BackendRef(id, ++mLastIncarnation);
        Server s = new Server(ref, address, version);
        mByAddress.put(address, s);
        announce(s);
    }

    /** Makes a server drain, and stops it some seconds later. */
    void withdraw(Server s) {
        s.mState = Backend.State.DRAINING;
        announce(s);
        mTime.after(
                DRAIN_MILLIS,
                () -> {
                    s.mState = Backend.State.LEFT;
                    announce(s);
                    end(s);
                });
    }

    /** Crashes a server for good. */
    void crash(Server s) {
        end(s);
    }

    /** Crashes a server; one with a new id starts at its address after a time. */
    void replace(Server s, int downMillis, String version) {
        if (end(s)) {
            mTime.after(downMillis, () -> start("s" + ++mStarts, s.mAddress, version));
        }
    }

    /** Crashes a server; it starts again under its id after a time. */
    void restart(Server s, int downMillis, String version) {
        if (end(s)) {
            mTime.after(downMillis, () -> start(s.mRef.id(), s.mAddress, version));
        }
    }

    /** Ends a server with all its calls; returns whether it was running. */
    private boolean end(Server s) {
        if (!mByAddress.remove(s.mAddress, s)) {
            return false;
        }
        List<CallId> calls = mCalls.keySet().stream().filter(id -> mCalls.get(id) == s).toList();
        calls.forEach(this::breakOff);
        return true;
    }

    private void announce(Server s) {
        Backend b =
                new Backend(
                                s.mRef,
                                SERVICE,
                                "dc",
                                "rg",
                                s.mAddress,
                                s.mState,
                                SLOTS,
                                ++s.mAnnouncements)
                        .withVersion(s.mVersion);
        boolean isLate = mMayBeLate && mTime.random().nextInt(100) < LATE_ANNOUNCEMENT_PERCENT;
        int delay = isLate ? mTime.random().nextInt(MAX_ANNOUNCE_DELAY_MILLIS) : 0;
        mTime.after(delay, () -> mControls.announce(() -> b));
    }

    @Override
    public void call(DirectEffect.BeginCall call, Consumer<DirectEvent> events) {
        transit(() -> arrive(call, new CallId(events, call.call())));
    }

    private void arrive(DirectEffect.BeginCall call, CallId id) {
        Server s = mByAddress.get(call.address());
        if (s == null) {
            DirectEvent.Failure failure = DirectEvent.Failure.NOT_SENT;
            send(id, new DirectEvent.Failed(id.call(), failure, "refused"));
        } else if (!s.mRef.id().equals(call.backend().id())) {
            send(id, new DirectEvent.HeadReceived(id.call(), 421, List.of(), MISDIRECTED));
        } else {
            mCalls.put(id, s);
            send(id, new DirectEvent.HeadReceived(id.call(), 200, List.of(), GENUINE));
            int first = firstEvent(call);
            boolean breaks = mTime.random().nextInt(100) < BREAK_PERCENT;
            int last = breaks ? first + mTime.random().nextInt(EVENTS) : EVENTS + 1;
            produce(s, id, first, last);
        }
    }

    /** Returns the first event that a call wants: the router's own resumption goes first. */
    private static int firstEvent(DirectEffect.BeginCall call) {
        String after =
                call.resumeAfter().isEmpty()
                        ? call.request().resumption().lastEvent()
                        : call.resumeAfter();
        return after.isEmpty() ? 1 : Integer.parseInt(after) + 1;
    }

    /** Sends an event after a time, then the next one; breaks off before event {@code last}. */
    private void produce(Server s, CallId id, int event, int last) {
        mTime.afterRandomDelay(
                MIN_EVENT_MILLIS,
                MAX_EVENT_MILLIS,
                () -> {
                    if (mCalls.get(id) != s) {
                        return;
                    }
                    if (event >= last && event <= EVENTS) {
                        breakOff(id);
                    } else if (event > EVENTS) {
                        mCalls.remove(id);
                        send(id, new DirectEvent.Finished(id.call()));
                    } else {
                        String text = "id: " + event + "\ndata: " + s.mVersion + "\n\n";
                        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
                        send(id, new DirectEvent.DataReceived(id.call(), bytes));
                        produce(s, id, event + 1, last);
                    }
                });
    }

    private void breakOff(CallId id) {
        mCalls.remove(id);
        DirectEvent.Failure failure = DirectEvent.Failure.CONNECTION_LOST;
        send(id, new DirectEvent.Failed(id.call(), failure, "the connection ended"));
    }

    /** Sends an event to a router; those of one call arrive in order. */
    private void send(CallId id, DirectEvent event) {
        mTime.after(MAX_TRANSIT_MILLIS, () -> id.events().accept(event));
    }

    private void transit(Runnable arrival) {
        mTime.afterRandomDelay(1, MAX_TRANSIT_MILLIS, arrival);
    }

    @Override
    public void check(DirectEffect.CheckBackend check, Consumer<DirectEvent> events) {
        boolean listens = mByAddress.containsKey(check.address());
        Reachability result = listens ? Reachability.ACCEPTS : Reachability.REFUSES;
        transit(() -> events.accept(new DirectEvent.BackendChecked(check.check(), result)));
    }

    @Override
    public void cancel(long call, Consumer<DirectEvent> events) {
        mCalls.remove(new CallId(events, call));
    }

    /** Identifies a call by its number and the receiver of its events. */
    private record CallId(Consumer<DirectEvent> events, long call) {}
}
