package org.laurelweir.load;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.laurelweir.answer.BodyFraming;
import org.laurelweir.direct.AnswerMetadata;
import org.laurelweir.direct.DirectEffect;
import org.laurelweir.direct.DirectEvent;
import org.laurelweir.direct.Prompt;
import org.laurelweir.fleet.FleetBackends;
import org.laurelweir.fleet.FleetControls;
import org.laurelweir.fleet.VirtualTime;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;

/**
 * Simulated engines in virtual time. An engine reads (prefills) one prompt after the other and
 * generates tokens for all requests concurrently. It sends the head of an answer with the first
 * token, and reports its load in it.
 */
final class FleetEngines implements FleetBackends {
    static final String SERVICE = "engines";

    private static final int DATA_CENTRES = 4;
    private static final int ANNOUNCE_INTERVAL_MILLIS = 1200;
    private static final int SLOTS = 64;

    /** Weight of an engine; also the slots that a router assumes until the engine reports them. */
    private static final int WEIGHT = 20;

    private static final int MAX_TRANSIT_MILLIS = 3;
    private static final double PREFILL_TOKENS_PER_MILLI = 44;

    /** Fetching a part from another engine is faster than reading it by this factor. */
    private static final double FETCH_SPEEDUP = 6;

    /** The load bound of an engine is this multiple of the mean load plus {@link #BOUND_EXTRA}. */
    private static final double BOUND_FACTOR = 2;

    private static final double BOUND_EXTRA = 3;

    /** Time per token without any request. */
    private static final double MILLIS_PER_TOKEN = 4;

    /** Additional time per token for each request of the engine. */
    private static final double MILLIS_PER_TOKEN_PER_REQUEST = 0.25;

    private static final AnswerMetadata MISDIRECTED =
            new AnswerMetadata(true, true, true, BodyFraming.LENGTH, Optional.empty());

    private final VirtualTime mTime;
    private final FleetControls mControls;
    private final Map<String, Engine> mByAddress = new HashMap<>();
    private final List<Arrival> mArrivals = new ArrayList<>();
    private final List<SlowStartArrival> mSlowStartArrivals = new ArrayList<>();
    private long mPrefilledTokens;

    /**
     * A request that reached an engine.
     *
     * @param atMillis time of the arrival
     * @param requests number of requests that the engine already had
     * @param mean mean number of requests per engine
     */
    record Arrival(long atMillis, int requests, double mean) {
        boolean isOverBound() {
            return requests > BOUND_FACTOR * mean + BOUND_EXTRA;
        }
    }

    FleetEngines(VirtualTime time, FleetControls controls, int count) {
        mTime = time;
        mControls = controls;
        for (int i = 0; i < count; i++) {
            Engine e = new Engine(new BackendRef("e" + i, 1), address(i), i % DATA_CENTRES);
            mByAddress.put(e.mAddress, e);
            announce(e);
        }
        time.every(ANNOUNCE_INTERVAL_MILLIS, () -> mByAddress.values().forEach(this::announce));
    }

    /** Makes a random engine read no prompt for some time; it still generates tokens. */
    void stall(int millis) {
        Engine e = mByAddress.get(address(mTime.random().nextInt(mByAddress.size())));
        e.mStalledUntil = mTime.millis() + millis;
    }

    /**
     * Crashes all engines of a data centre. They start again together after some time, each under a
     * new name, without cached parts and in slow start.
     */
    void restartDataCentre(int dataCentre, int downMillis, int slowStartMillis) {
        for (Engine e : mByAddress.values()) {
            if (e.mDataCentre == dataCentre) {
                crash(e);
                mTime.after(downMillis, () -> restart(e, slowStartMillis));
            }
        }
    }

    private void crash(Engine e) {
        e.mDown = true;
        e.mWaiting.clear();
        e.mCachedParts.clear();
        e.mRequests.forEach(r -> r.fail(DirectEvent.Failure.CONNECTION_LOST));
        e.mRequests.clear();
    }

    private void restart(Engine e, int slowStartMillis) {
        e.mDown = false;
        e.mRef = new BackendRef(e.mRef.id() + "'", 1);
        e.mAnnouncements = 0;
        e.mSlowStartUntil = mTime.millis() + slowStartMillis;
        announce(e);
    }

    /** Returns the requests that reached engines in slow start, in order of arrival. */
    List<SlowStartArrival> slowStartArrivals() {
        return mSlowStartArrivals;
    }

    /** A request that reached an engine in slow start. */
    record SlowStartArrival(long atMillis, BackendRef engine) {}

    /** Returns the requests that reached engines, in order of arrival. */
    List<Arrival> arrivals() {
        return mArrivals;
    }

    /** Returns the number of tokens of shared parts that engines have read or fetched so far. */
    long prefilledTokens() {
        return mPrefilledTokens;
    }

    private static String address(int number) {
        return "10.0.0." + number + ":80";
    }

    private void announce(Engine e) {
        if (e.mDown) {
            return;
        }
        mControls.announce(
                () ->
                        new Backend(
                                        e.mRef,
                                        SERVICE,
                                        "dc" + e.mDataCentre,
                                        "rg",
                                        e.mAddress,
                                        Backend.State.SERVING,
                                        WEIGHT,
                                        ++e.mAnnouncements)
                                .withSlowStart(isInSlowStart(e)));
    }

    private boolean isInSlowStart(Engine e) {
        return mTime.millis() < e.mSlowStartUntil;
    }

    @Override
    public void call(DirectEffect.BeginCall call, Consumer<DirectEvent> events) {
        transit(() -> arrive(mByAddress.get(call.address()), new EngineCall(call, events)));
    }

    @Override
    public void check(DirectEffect.CheckBackend check, Consumer<DirectEvent> events) {
        throw new IllegalStateException("every answer tells its end: " + check);
    }

    @Override
    public void cancel(long call, Consumer<DirectEvent> events) {
        for (Engine e : mByAddress.values()) {
            e.mRequests.removeIf(r -> r.matches(call, events));
            e.mWaiting.removeIf(r -> r.matches(call, events));
        }
    }

    private void transit(Runnable arrival) {
        mTime.afterRandomDelay(1, MAX_TRANSIT_MILLIS, arrival);
    }

    private void arrive(Engine e, EngineCall r) {
        if (e.mDown) {
            r.fail(DirectEvent.Failure.NOT_SENT);
            return;
        }
        if (!e.mRef.equals(r.mCall.backend())) {
            r.send(new DirectEvent.HeadReceived(r.mCall.call(), 421, List.of(), MISDIRECTED));
            return;
        }
        if (isInSlowStart(e)) {
            mSlowStartArrivals.add(new SlowStartArrival(mTime.millis(), e.mRef));
        }
        double mean =
                mByAddress.values().stream().mapToInt(Engine::requestCount).average().orElse(0);
        mArrivals.add(new Arrival(mTime.millis(), e.requestCount(), mean));
        e.mRequests.add(r);
        e.mWaiting.add(r);
        if (!e.mPrefilling) {
            prefillNext(e);
        }
    }

    private void prefillNext(Engine e) {
        EngineCall r = e.mWaiting.poll();
        e.mPrefilling = r != null;
        if (r != null) {
            long start = Math.max(mTime.millis(), e.mStalledUntil);
            mTime.after(start - mTime.millis() + prefillMillis(e, r), () -> startGenerating(e, r));
        }
    }

    private long prefillMillis(Engine e, EngineCall r) {
        Prompt prompt = r.mCall.request().prompt();
        int shared = prompt.sharedTokens();
        double tokens = prompt.inputTokens() - shared;
        if (e.mCachedParts.add(prompt.sharedPart().id())) {
            mPrefilledTokens += shared;
            tokens += isFetched(r, prompt) ? shared / FETCH_SPEEDUP : shared;
        }
        return Math.max(1, Math.round(tokens / PREFILL_TOKENS_PER_MILLI));
    }

    private boolean isFetched(EngineCall r, Prompt prompt) {
        Engine holder = mByAddress.get(r.mCall.fetchFrom());
        return holder != null && holder.mCachedParts.contains(prompt.sharedPart().id());
    }

    private void startGenerating(Engine e, EngineCall r) {
        prefillNext(e);
        if (!e.mRequests.contains(r)) {
            return;
        }
        AnswerMetadata.ReportedLoad load =
                new AnswerMetadata.ReportedLoad(
                        e.requestCount() - e.mWaiting.size(), e.mWaiting.size(), SLOTS);
        AnswerMetadata metadata =
                new AnswerMetadata(false, false, true, BodyFraming.LENGTH, Optional.of(load));
        r.send(new DirectEvent.HeadReceived(r.mCall.call(), 200, List.of(), metadata));
        double millisPerToken = MILLIS_PER_TOKEN + MILLIS_PER_TOKEN_PER_REQUEST * e.requestCount();
        mTime.after(
                Math.round(millisPerToken * r.mCall.request().prompt().outputTokens()),
                () -> finish(e, r));
    }

    private void finish(Engine e, EngineCall r) {
        if (e.mRequests.remove(r)) {
            r.send(new DirectEvent.Finished(r.mCall.call()));
        }
    }

    /** A call of a router, with the receiver of its events. */
    private final class EngineCall {
        private final DirectEffect.BeginCall mCall;
        private final Consumer<DirectEvent> mEvents;

        EngineCall(DirectEffect.BeginCall call, Consumer<DirectEvent> events) {
            mCall = call;
            mEvents = events;
        }

        boolean matches(long call, Consumer<DirectEvent> events) {
            return mCall.call() == call && mEvents == events;
        }

        void fail(DirectEvent.Failure failure) {
            send(new DirectEvent.Failed(mCall.call(), failure, "the engine is down"));
        }

        void send(DirectEvent event) {
            transit(() -> mEvents.accept(event));
        }
    }

    private static final class Engine {
        private BackendRef mRef;
        private final String mAddress;
        private final int mDataCentre;
        private final Set<EngineCall> mRequests = new HashSet<>();
        private final Deque<EngineCall> mWaiting = new ArrayDeque<>();
        private final Set<Long> mCachedParts = new HashSet<>();
        private boolean mPrefilling;
        private boolean mDown;
        private long mStalledUntil;
        private long mSlowStartUntil;
        private int mAnnouncements;

        Engine(BackendRef ref, String address, int dataCentre) {
            mRef = ref;
            mDataCentre = dataCentre;
            mAddress = address;
        }

        int requestCount() {
            return mRequests.size();
        }
    }
}
