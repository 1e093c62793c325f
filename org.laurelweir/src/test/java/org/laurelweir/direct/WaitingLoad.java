package org.laurelweir.direct;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.contention.FleetDemand;
import org.laurelweir.contention.FleetView;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.load.LoadEstimator;
import org.laurelweir.membership.Backend;

/**
 * Plays requests on {@link WaitingRequests}, with servers that have a number of slots together. The
 * time advances by milliseconds, with the router's regular checks every 10 ms.
 */
final class WaitingLoad implements FleetView {
    static final int TICK_MILLIS = 10;
    private static final int TOKENS = 1000;
    private static final Backend SERVER =
            new Backend(
                    new BackendRef("s", 0),
                    DirectRoutingDriver.SERVICE,
                    "dc",
                    "rg",
                    "s:80",
                    Backend.State.SERVING,
                    6,
                    1);

    /** A request as its test sees it. */
    static final class Sent {
        final RoutedRequest mRequest;
        final Instant mArrival;
        Instant mStart;
        Instant mRefused;
        Duration mReturnDelay;

        Sent(RoutedRequest request, Instant arrival) {
            mRequest = request;
            mArrival = arrival;
        }

        boolean isWaiting() {
            return mStart == null && mRefused == null;
        }

        int priority() {
            return mRequest.priority();
        }

        String account() {
            return mRequest.account();
        }

        /** Returns the time until the start or, if there was none, until the refusal. */
        long waitMillis() {
            return Duration.between(mArrival, mStart == null ? mRefused : mStart).toMillis();
        }
    }

    private record Running(Instant end, ActiveRequest request) {}

    final Map<Long, Sent> mSent = new LinkedHashMap<>();
    final List<String> mReasons = new ArrayList<>();

    /** Called when a request starts, before it counts as started. */
    Consumer<Sent> mOnStart = s -> {};

    /** Called when a request is refused. */
    BiConsumer<Long, Sent> mOnRefused = (caller, s) -> {};

    int mSlots;
    int mRunMillis;
    double mAgeMillis = 100;

    /** Tokens that the memory of the servers holds, or 0 if they have none. */
    int mMemoryTokens;

    Instant mNow = Instant.parse("2026-12-04T10:00:00Z");
    final WaitingRequests mWaiting;
    private final PriorityQueue<Running> mRunning =
            new PriorityQueue<>((a, b) -> a.end().compareTo(b.end()));
    private final Map<String, Integer> mRunningByAccount = new HashMap<>();
    private final Map<Long, ActiveRequest> mActive = new HashMap<>();
    private final List<Sent> mWaitingSent = new ArrayList<>();
    private long mMillis;

    /**
     * Creates an idle router.
     *
     * @param slots number of requests that the servers run at once
     * @param runMillis how long each request runs
     */
    WaitingLoad(int slots, int runMillis, long seed) {
        mSlots = slots;
        mRunMillis = runMillis;
        DirectRoutingDriver backends = new DirectRoutingDriver(1);
        LoadEstimator loads = new LoadEstimator();
        ServerTable servers = new ServerTable();
        ContendedCalls calls =
                new ContendedCalls(backends, servers, new PartHolders(), new FleetDemand());
        ServerChoice choice =
                new ServerChoice(backends, servers, loads, new SlowStartLimiter(), calls, seed);
        mWaiting =
                new WaitingRequests(
                        this, choice, new RequestDecisions(), this::start, this::refuse, seed);
    }

    private void beginStep() {
        mWaiting.beginStep(
                mNow, e -> mReasons.add(((DirectEffect.LogDecision) e).decision().reason()));
    }

    /** Sends a request of a kind that is known by its priority. */
    void arrive(long caller, int priority, String account, String body) {
        RoutedRequest request = request(caller, priority, account, body, 0);
        EngineCapacity engine = new EngineCapacity(128, mMemoryTokens);
        Map<String, EngineCapacity> engines = Map.of(DirectRoutingDriver.SERVICE, engine);
        arrive(caller, request.withTerms(new RequestTerms(true, 1, 0, engines)));
    }

    static RoutedRequest request(long caller, int priority, String account, String body, int size) {
        Route r = DirectRoutingDriver.route(false, true, true, 2);
        Route route =
                new Route(
                        r.name(),
                        r.host(),
                        r.prefix(),
                        r.shares(),
                        r.idempotent(),
                        r.streamed(),
                        r.resumable(),
                        r.isPublic(),
                        r.maxAttempts(),
                        Duration.ofSeconds(4),
                        Duration.ofMillis(800),
                        r.maxPause(),
                        priority);
        byte[] bytes =
                Arrays.copyOf(body.getBytes(StandardCharsets.UTF_8), Math.max(size, body.length()));
        AttemptRequest.Call call = new AttemptRequest.Call("POST", "/x", List.of(), bytes, true);
        Prompt prompt = new Prompt(List.of(new Prompt.Part(1, TOKENS)), TOKENS, 0);
        Duration timeLeft = Duration.ofSeconds(4);
        return new RoutedRequest("id" + caller, route, account, priority, timeLeft, call, prompt)
                .withTerms(new RequestTerms(true, 1, 0, Map.of()));
    }

    void arrive(long caller, RoutedRequest request) {
        Sent sent = new Sent(request, mNow);
        mSent.put(caller, sent);
        mWaitingSent.add(sent);
        ActiveRequest r = new ActiveRequest(caller, request, DirectRoutingDriver.SERVICE, mNow);
        mActive.put(caller, r);
        beginStep();
        mWaiting.startOrWait(r);
        mWaiting.endStep();
    }

    void disconnect(long caller) {
        Sent s = mSent.get(caller);
        if (s.isWaiting()) {
            beginStep();
            s.mRefused = mNow;
            mWaiting.onEnded(mActive.remove(caller));
            mWaiting.endStep();
        }
    }

    private boolean start(ActiveRequest r) {
        if (mRunning.size() >= mSlots) {
            return false;
        }
        Sent s = mSent.get(r.mCaller);
        mOnStart.accept(s);
        s.mStart = mNow;
        r.startCall(r.mCaller, SERVER, mNow);
        r.mAttemptCount++;
        mRunning.add(new Running(mNow.plusMillis(mRunMillis), r));
        mRunningByAccount.merge(r.mRequest.account(), 1, Integer::sum);
        return true;
    }

    private void refuse(ActiveRequest r, String message) {
        Sent s = mSent.get(r.mCaller);
        s.mReturnDelay = mWaiting.returnDelay(r);
        s.mRefused = mNow;
        mWaiting.onEnded(r);
        mActive.remove(r.mCaller);
        mOnRefused.accept(r.mCaller, s);
    }

    /** Advances the time by a millisecond, in which requests end. */
    void advance() {
        mMillis++;
        mNow = mNow.plusMillis(1);
        while (!mRunning.isEmpty() && !mRunning.peek().end().isAfter(mNow)) {
            ActiveRequest r = mRunning.poll().request();
            mRunningByAccount.merge(r.mRequest.account(), -1, (a, b) -> a + b == 0 ? null : a + b);
            mActive.remove(r.mCaller);
            beginStep();
            mWaiting.onEnded(r);
            mWaiting.endStep();
        }
        if (mMillis % TICK_MILLIS == 0) {
            beginStep();
            mWaiting.onTick();
        }
    }

    boolean isTick() {
        return mMillis % TICK_MILLIS == 0;
    }

    int freeSlots() {
        return mSlots - mRunning.size();
    }

    List<Sent> waiting() {
        mWaitingSent.removeIf(s -> !s.isWaiting());
        return List.copyOf(mWaitingSent);
    }

    /** Returns the share of the requests of a kind that started. */
    static double startedShare(List<Sent> requests) {
        return requests.stream().filter(s -> s.mStart != null).count() / (double) requests.size();
    }

    List<Sent> sent(Predicate<Sent> filter) {
        return new ArrayList<>(mSent.values().stream().filter(filter).toList());
    }

    @Override
    public double tokens(Instant now, String service, BackendRef ref) {
        return TOKENS * (double) mRunning.size();
    }

    @Override
    public double failureRate(Instant now, BackendRef ref) {
        return 0;
    }

    @Override
    public double accountTokens(Instant now, String account) {
        return TOKENS * (double) mRunningByAccount.getOrDefault(account, 0);
    }

    @Override
    public double meanAccountTokens(Instant now) {
        return mRunningByAccount.values().stream().mapToDouble(n -> TOKENS * n).average().orElse(0);
    }

    @Override
    public double ageMillis(Instant now) {
        return mAgeMillis;
    }
}
