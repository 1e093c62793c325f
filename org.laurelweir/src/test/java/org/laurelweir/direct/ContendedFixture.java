package org.laurelweir.direct;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.laurelweir.answer.BodyFraming;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.attempt.Header;
import org.laurelweir.contention.FleetDemand;
import org.laurelweir.contention.FleetView;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.load.LoadEstimator;
import org.laurelweir.membership.Backend;
import org.laurelweir.placement.Candidate;
import org.laurelweir.placement.ServiceView;
import org.laurelweir.placement.ViewChange;
import org.laurelweir.settings.RouteShare;

/** Servers of one contended service, with what the router knows of them. */
final class ContendedFixture implements BackendSource, FleetView {
    static final String SERVICE = "svc";
    static final int SLOTS = 128;
    static final int MEMORY_TOKENS = 200_000;
    static final RequestTerms TERMS =
            new RequestTerms(true, 1, 0, Map.of(SERVICE, new EngineCapacity(SLOTS, MEMORY_TOKENS)));
    private static final double TOKENS_PER_MILLI = 40;
    private static final double BASE_MILLIS = 20;
    private static final byte[] EVENT = "data: x\n\n".getBytes(StandardCharsets.UTF_8);

    final LoadEstimator mLoads = new LoadEstimator();
    final ServerTable mServers = new ServerTable();
    final PartHolders mHolders = new PartHolders();
    final FleetDemand mDemand = new FleetDemand();
    final Map<String, Double> mTokens = new HashMap<>();
    final Map<String, Double> mFailureRates = new HashMap<>();
    final ContendedCalls mCalls = new ContendedCalls(this, mServers, mHolders, mDemand, this);
    private final Map<String, Backend> mBackends = new HashMap<>();
    private final ServerChoice mChoice;
    private ServiceView mView = ServiceView.empty(SERVICE);
    private long mVersion;
    private long mLastCall;
    Instant mNow = Instant.EPOCH;

    ContendedFixture(int servers, double weight, long seed) {
        for (int i = 0; i < servers; i++) {
            join(new BackendRef("s" + i, 1), weight);
        }
        mChoice = new ServerChoice(this, mServers, mLoads, new SlowStartLimiter(), mCalls, seed);
    }

    private void join(BackendRef ref, double weight) {
        mBackends.put(
                ref.id(),
                new Backend(ref, SERVICE, "dc", "rg", "a:80", Backend.State.SERVING, weight, 1));
        ViewChange join = new ViewChange.Join(new Candidate(ref, "dc", weight));
        mView = mView.apply(++mVersion, List.of(join));
    }

    void restart(String id) {
        Backend b = mBackends.get(id);
        join(new BackendRef(id, b.ref().incarnation() + 1), b.weight());
    }

    @Override
    public ServiceView view(String service) {
        return mView;
    }

    @Override
    public Backend backend(String id) {
        return mBackends.get(id);
    }

    @Override
    public boolean onLeaving(Instant now, BackendRef ref) {
        throw new UnsupportedOperationException("no server of this fixture leaves");
    }

    @Override
    public double tokens(Instant now, String service, BackendRef ref) {
        return Math.max(mTokens.getOrDefault(ref.id(), 0.0), mDemand.tokens(now, service, ref));
    }

    @Override
    public double failureRate(Instant now, BackendRef ref) {
        return mFailureRates.getOrDefault(ref.id(), 0.0);
    }

    @Override
    public double accountTokens(Instant now, String account) {
        return 0;
    }

    @Override
    public double meanAccountTokens(Instant now) {
        return 0;
    }

    @Override
    public double ageMillis(Instant now) {
        return mTokens.isEmpty() ? Double.NaN : 0;
    }

    /** Returns a resumable stream's route with an objective. */
    static Route stream(int objectiveMillis) {
        return route(true, true, objectiveMillis);
    }

    static Route route(boolean repeatable, boolean streamed, int objectiveMillis) {
        return new Route(
                "r",
                "h",
                "/",
                List.of(new RouteShare(SERVICE, 1)),
                repeatable,
                streamed,
                repeatable,
                false,
                2,
                Duration.ofSeconds(10),
                Duration.ofMillis(objectiveMillis),
                Duration.ofMillis(400),
                5);
    }

    static Prompt prompt(long part, int sharedTokens, int ownTokens) {
        return new Prompt(
                List.of(new Prompt.Part(part, sharedTokens), new Prompt.Part(-part, ownTokens)),
                sharedTokens + ownTokens,
                50);
    }

    ActiveRequest request(Route route, Prompt prompt, RequestTerms terms) {
        AttemptRequest.Call call =
                new AttemptRequest.Call("POST", "/x", List.of(), new byte[0], route.streamed());
        RoutedRequest request =
                new RoutedRequest("id", route, "acc", 5, Duration.ofSeconds(10), call, prompt);
        return new ActiveRequest(1, request.withTerms(terms), SERVICE, mNow);
    }

    Optional<ServerChoice.Choice> choose(Route route, Prompt prompt) {
        return mChoice.choose(request(route, prompt, TERMS), mNow);
    }

    ServerChoice.Choice chosen(Route route, Prompt prompt) {
        return choose(route, prompt).orElseThrow();
    }

    String home(Prompt prompt) {
        return mView.ranking().top(prompt.key(), 1).get(0).id();
    }

    /** Chooses a server for a request and sends it there. */
    ActiveRequest send(Route route, Prompt prompt, RequestTerms terms) {
        ActiveRequest r = request(route, prompt, terms);
        start(r, mChoice.choose(r, mNow).orElseThrow());
        return r;
    }

    private void start(ActiveRequest r, ServerChoice.Choice choice) {
        r.startCall(++mLastCall, backend(choice.server().id()), mNow);
        mLoads.onRequestSent(r.mBackend, r.sharedPartId());
        mCalls.onSent(r, choice, mNow);
    }

    void finish(ActiveRequest r) {
        mLoads.onRequestEnded(r.mBackend, r.sharedPartId());
        mCalls.onEnded(r, mNow);
        r.mCall = 0;
        mCalls.onSuccess(r, mNow);
    }

    void firstEvent(ActiveRequest r) {
        r.acceptHead(
                200, List.of(new Header("content-type", "text/event-stream")), BodyFraming.LENGTH);
        r.mFramer.add(EVENT);
        mCalls.onData(r, mNow);
    }

    /** Lets a server answer a stream in the time that its slowness makes it take. */
    void serve(String id, int tokens, double slowness) {
        serve(id, tokens, slowness, List.of());
    }

    /** Lets a server answer a stream as the first candidate by rank. */
    void serveAtHome(int tokens, double slowness) {
        serve("s0", tokens, slowness, List.of("s0"));
    }

    private void serve(String id, int tokens, double slowness, List<String> candidates) {
        Backend b = backend(id);
        ActiveRequest r = request(stream(1000), prompt(1_000_000 + mLastCall, tokens, 0), TERMS);
        start(
                r,
                new ServerChoice.Choice(
                        new Candidate(b.ref(), "dc", b.weight()), "", candidates, 0, 0, 0, ""));
        mNow = mNow.plusMillis(Math.round(BASE_MILLIS + tokens * slowness / TOKENS_PER_MILLI));
        firstEvent(r);
        finish(r);
    }

    /** Lets the router see a few answers of all servers; they differ in size. */
    void learn(Map<String, Double> slowness) {
        for (int round = 0; round < 8; round++) {
            for (String id : mBackends.keySet().stream().sorted().toList()) {
                serve(id, round % 2 == 0 ? 9000 : 2000, slowness.getOrDefault(id, 1.0));
            }
        }
    }
}
