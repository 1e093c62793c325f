package org.laurelweir.benchmarks.measure.policy;

import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.laurelweir.benchmarks.measure.Deployment.Bound;
import org.laurelweir.benchmarks.measure.fleet.ControlBytes;
import org.laurelweir.benchmarks.measure.fleet.Engine;
import org.laurelweir.benchmarks.measure.fleet.Fleet;
import org.laurelweir.benchmarks.measure.fleet.Request;
import org.laurelweir.benchmarks.measure.fleet.Scheme;
import org.laurelweir.placement.AffinityPolicy;
import org.laurelweir.placement.BoundConfig;
import org.laurelweir.placement.BoundDecision;
import org.laurelweir.placement.BoundPolicy;
import org.laurelweir.placement.BoundQuery;
import org.laurelweir.placement.Candidate;
import org.laurelweir.placement.ChatKey;
import org.laurelweir.placement.ChatLocation;
import org.laurelweir.placement.ChatLocationQuery;
import org.laurelweir.placement.FirstTokenDeadline;
import org.laurelweir.placement.PlacementPolicy;
import org.laurelweir.placement.RedirectPolicy;
import org.laurelweir.placement.ServiceView;
import org.laurelweir.placement.WorkEstimate;

/**
 * The policy in use: the router sends a chat to its home, the sidecars find its seat, keep the
 * bound and send on what goes over it.
 */
final class DirectoryScheme implements Scheme {
    private static final long MICROS_PER_MILLI = 1000;
    private static final Duration GRACE = Duration.ofMillis(200);

    /** Servers with room that a sidecar hears of with a heartbeat. */
    private static final int OPEN_SERVERS = 3;

    private static final long RANDOM_SEED = 11;

    private final SplittableRandom mRandom = new SplittableRandom(RANDOM_SEED);
    private final Fleet mFleet;
    private final PlacementPolicy mRouterPolicy = new AffinityPolicy();
    private final BoundPolicy mBound;
    private final BoundConfig mConfig;
    private final long mWait;
    private final Map<Engine, Sidecar> mSidecars = new HashMap<>();
    private final Map<Integer, RouterMemory> mRouters = new HashMap<>();

    DirectoryScheme(Fleet fleet) {
        mFleet = fleet;
        Bound b = fleet.deployment().bound();
        mConfig =
                new BoundConfig(
                        b.factor(),
                        b.headroom(),
                        b.openFactor(),
                        b.capacityFloor(),
                        b.prefillWeight(),
                        b.maxRedirects());
        mBound = new BoundPolicy(mConfig);
        mWait = b.waitMillis() * MICROS_PER_MILLI;
        hearOfOpenServers();
    }

    /** Gives each sidecar, with its heartbeat, a few servers that lay under the mean. */
    private void hearOfOpenServers() {
        mFleet.later(
                mFleet.deployment().lags().loadMillis() * MICROS_PER_MILLI,
                () -> {
                    for (int s = 0; s < mFleet.deployment().services().size(); s++) {
                        drawOpenServers(s);
                    }
                    hearOfOpenServers();
                });
    }

    private void drawOpenServers(int service) {
        double mean = mFleet.reportedMean(service);
        List<String> under = new ArrayList<>();
        for (Engine e : mFleet.engines(service)) {
            if (e.isAlive() && !e.isDraining() && e.reportedWork() < mean) {
                under.add(e.id());
            }
        }
        for (Engine e : mFleet.engines(service)) {
            List<String> drawn = new ArrayList<>();
            for (int i = 0; i < OPEN_SERVERS && !under.isEmpty(); i++) {
                drawn.add(under.get(mRandom.nextInt(under.size())));
            }
            sidecar(e).setOpen(drawn);
        }
    }

    @Override
    public void onArrival(Request request) {
        for (Candidate c : candidates(request)) {
            Engine e = mFleet.engine(c.id());
            if (e.isAlive()) {
                memory(request).onSuccess(e.id());
                deliver(request, sidecar(e), true);
                return;
            }
            memory(request).onFailure(c.id(), mFleet.engines(e.service()).size());
            request.addHop();
            mFleet.control().addPerRequest(ControlBytes.FAILOVER);
        }
        mFleet.reject(request);
    }

    private List<Candidate> candidates(Request request) {
        int service = request.turn().chat().service();
        ServiceView view = mFleet.routerView(request.turn().router(), service);
        return mRouterPolicy.place(request.placement(), view, memory(request)).candidates();
    }

    private RouterMemory memory(Request request) {
        return mRouters.computeIfAbsent(request.turn().router(), r -> new RouterMemory(mFleet));
    }

    private Sidecar sidecar(Engine engine) {
        return mSidecars.computeIfAbsent(engine, Sidecar::new);
    }

    /** Takes a request at a sidecar. */
    private void deliver(Request request, Sidecar at, boolean firstStop) {
        request.visited().add(at.engine());
        ChatLocation seat = findSeat(request, at, firstStop);
        if (seat instanceof ChatLocation.AskPeers ask) {
            seat = ask(request, at, ask);
        }
        if (seat instanceof ChatLocation.Remote elsewhere) {
            Engine to = mFleet.engine(elsewhere.server());
            if (to.isAlive() && !request.visited().contains(to)) {
                redirect(request, to);
                return;
            }
        }
        decide(request, at);
    }

    private ChatLocation findSeat(Request request, Sidecar at, boolean firstStop) {
        ChatLocationQuery query =
                new ChatLocationQuery(
                        request.turn().chat().key(),
                        BoundPolicy.hasCacheAffinity(request.workAt(at.engine())),
                        firstStop,
                        at.joinedLately(mFleet.now()));
        return at.lookup().locate(query, mFleet.sidecarView(at.engine()));
    }

    /** Asks the servers that may know the seat; one that has more of the history is the seat. */
    private ChatLocation ask(Request request, Sidecar at, ChatLocation.AskPeers ask) {
        request.addHop();
        ChatKey chat = request.turn().chat().key();
        int most = request.workAt(at.engine()).cachedTokens();
        Engine best = at.engine();
        for (Candidate c : ask.candidates()) {
            Engine asked = mFleet.engine(c.id());
            if (!asked.isAlive()) {
                continue;
            }
            String entry = sidecar(asked).directory().find(chat);
            Engine holder = entry == null ? asked : mFleet.engine(entry);
            int cached = request.workAt(holder).cachedTokens();
            if (holder.isAlive() && cached > most) {
                best = holder;
                most = cached;
            }
        }
        return best == at.engine() ? ChatLocation.LOCAL : new ChatLocation.Remote(best.id());
    }

    private void redirect(Request request, Engine to) {
        request.addRedirect();
        mFleet.control().addPerRequest(ControlBytes.REDIRECT);
        deliver(request, sidecar(to), false);
    }

    /** Keeps the bound beside the engine. */
    private void decide(Request request, Sidecar at) {
        Engine e = at.engine();
        Engine next = next(request, e);
        if (e.isDraining()) {
            sendOnOrReject(request, next);
            return;
        }
        double mean = mFleet.reportedMean(e.service());
        BoundDecision decision = mBound.decide(query(request, e, next != null), e.work(), mean);
        switch (decision) {
            case ADMIT -> admit(request, at);
            case WAIT -> hold(request, at);
            case REDIRECT -> redirect(request, next);
            default -> mFleet.reject(request);
        }
    }

    private BoundQuery query(Request request, Engine engine, boolean hasNext) {
        WorkEstimate work = request.workAt(engine);
        return new BoundQuery(
                work,
                request.redirects(),
                hasNext,
                request.isWaited(),
                reachable(request, work, engine));
    }

    private boolean reachable(Request request, WorkEstimate work, Engine engine) {
        long now = mFleet.now();
        long own = engine.prefillMicros(work.uncachedTokens());
        long first = engine.firstTokenAt(work.uncachedTokens(), now);
        long left = request.turn().at() + request.turn().deadline() - now;
        return FirstTokenDeadline.isReachable(
                Duration.of(first - now - own, ChronoUnit.MICROS),
                Duration.of(own, ChronoUnit.MICROS),
                Duration.of(left, ChronoUnit.MICROS),
                GRACE);
    }

    private void sendOnOrReject(Request request, Engine next) {
        if (next == null || request.redirects() > mConfig.maxRedirects()) {
            mFleet.reject(request);
            return;
        }
        redirect(request, next);
    }

    /** Returns where a request would be sent on to, or null. */
    private Engine next(Request request, Engine from) {
        Set<String> visited = new HashSet<>();
        request.visited().forEach(e -> visited.add(e.id()));
        ServiceView view = mFleet.sidecarView(from);
        List<String> open = sidecar(from).open();
        while (true) {
            Candidate c = RedirectPolicy.choose(request.turn().chat().key(), view, open, visited);
            if (c == null || mFleet.engine(c.id()).isAlive()) {
                return c == null ? null : mFleet.engine(c.id());
            }
            visited.add(c.id());
        }
    }

    private void admit(Request request, Sidecar at) {
        ChatKey chat = request.turn().chat().key();
        Engine e = at.engine();
        Candidate home = mFleet.sidecarView(e).ranking().home(chat);
        Engine homeEngine = home == null ? e : mFleet.engine(home.id());
        if (homeEngine == e) {
            at.directory().remove(chat);
        } else {
            sidecar(homeEngine).directory().put(chat, e.id());
        }
        at.held().onAdmit(chat, home);
        memory(request).onSeat(chat, e.id(), home);
        mFleet.control().addPerRequest(ControlBytes.ANSWER_HINT);
        mFleet.start(request, e);
    }

    private void hold(Request request, Sidecar at) {
        at.waiting().add(request);
        mFleet.later(
                mWait,
                () -> {
                    if (at.waiting().remove(request)) {
                        request.setWaited();
                        decide(request, at);
                    }
                });
    }

    @Override
    public void onEnd(Engine engine, Request request) {
        Sidecar at = sidecar(engine);
        int tries = at.waiting().size();
        for (int i = 0; i < tries; i++) {
            Request first = at.waiting().poll();
            if (!fits(first, engine)) {
                at.waiting().addFirst(first);
                return;
            }
            admit(first, at);
        }
    }

    private boolean fits(Request request, Engine engine) {
        double mean = mFleet.reportedMean(engine.service());
        return mBound.decide(query(request, engine, false), engine.work(), mean)
                == BoundDecision.ADMIT;
    }

    @Override
    public void onJoin(Engine engine) {
        sidecar(engine).onJoin(mFleet.now());
    }

    /** Hands the directory over: each entry to the chat's next home. */
    @Override
    public void onDrain(Engine engine) {
        ServiceView view = mFleet.sidecarView(engine);
        sidecar(engine)
                .directory()
                .forEach(
                        (chat, seat) -> {
                            List<Candidate> next = view.ranking().topWithout(chat, engine.id(), 1);
                            if (!next.isEmpty()) {
                                Engine e = mFleet.engine(next.get(0).id());
                                sidecar(e).directory().put(chat, seat);
                            }
                        });
    }

    /** The others tell the new homes of the chats that they hold for the one that left. */
    @Override
    public void onDrop(Engine engine) {
        for (Engine e : mFleet.engines(engine.service())) {
            if (e.isAlive()) {
                ServiceView view = mFleet.latestView(e.service());
                sidecar(e).held().onLeave(engine.id(), view, (home, chat) -> tell(home, chat, e));
            }
        }
    }

    private void tell(Candidate home, ChatKey chat, Engine holder) {
        sidecar(mFleet.engine(home.id())).directory().put(chat, holder.id());
    }

    @Override
    public String earlierPlace(Request request) {
        return candidates(request).get(0).id();
    }
}
