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
 * Models the policy in use. The router sends a chat to its home. The sidecars find the chat
 * location, apply the load bound and redirect requests that exceed it.
 */
final class DirectoryScheme implements Scheme {
    private static final long MICROS_PER_MILLI = 1000;
    private static final Duration DEADLINE_GRACE = Duration.ofMillis(200);

    /** Servers with room that each heartbeat names to a sidecar. */
    private static final int OPEN_SERVERS_PER_HEARTBEAT = 3;

    private static final long RANDOM_SEED = 11;

    private final SplittableRandom mRandom = new SplittableRandom(RANDOM_SEED);
    private final Fleet mFleet;
    private final PlacementPolicy mRouterPolicy = new AffinityPolicy();
    private final BoundPolicy mBoundPolicy;
    private final BoundConfig mBoundConfig;
    private final long mMaxWaitMicros;
    private final Map<Engine, SidecarState> mSidecars = new HashMap<>();
    private final Map<Integer, RouterState> mRouterStates = new HashMap<>();

    DirectoryScheme(Fleet fleet) {
        mFleet = fleet;
        Bound b = fleet.deployment().bound();
        mBoundConfig =
                new BoundConfig(
                        b.factor(),
                        b.headroom(),
                        b.openFactor(),
                        b.capacityFloor(),
                        b.prefillWeight(),
                        b.maxRedirects());
        mBoundPolicy = new BoundPolicy(mBoundConfig);
        mMaxWaitMicros = b.waitMillis() * MICROS_PER_MILLI;
        scheduleOpenServerUpdates();
    }

    /** With each heartbeat, names to every sidecar a few servers whose work is below the mean. */
    private void scheduleOpenServerUpdates() {
        mFleet.schedule(
                mFleet.deployment().lags().loadMillis() * MICROS_PER_MILLI,
                () -> {
                    for (int s = 0; s < mFleet.deployment().services().size(); s++) {
                        updateOpenServers(s);
                    }
                    scheduleOpenServerUpdates();
                });
    }

    private void updateOpenServers(int service) {
        double mean = mFleet.reportedMean(service);
        List<String> belowMean = new ArrayList<>();
        for (Engine e : mFleet.engines(service)) {
            if (e.isAlive() && !e.isDraining() && e.reportedWork() < mean) {
                belowMean.add(e.id());
            }
        }
        for (Engine e : mFleet.engines(service)) {
            List<String> drawn = new ArrayList<>();
            for (int i = 0; i < OPEN_SERVERS_PER_HEARTBEAT && !belowMean.isEmpty(); i++) {
                drawn.add(belowMean.get(mRandom.nextInt(belowMean.size())));
            }
            sidecar(e).setOpenServers(drawn);
        }
    }

    @Override
    public void onArrival(Request request) {
        for (Candidate c : candidates(request)) {
            Engine e = mFleet.engine(c.id());
            if (e.isAlive()) {
                routerState(request).onSuccess(e.id());
                deliver(request, sidecar(e), true);
                return;
            }
            routerState(request).onFailure(c.id(), mFleet.engines(e.service()).size());
            request.addHop();
            mFleet.controlBytes().addPerRequest(ControlBytes.FAILOVER);
        }
        mFleet.reject(request);
    }

    private List<Candidate> candidates(Request request) {
        int service = request.turn().chat().service();
        ServiceView view = mFleet.routerView(request.turn().router(), service);
        return mRouterPolicy.place(request.placement(), view, routerState(request)).candidates();
    }

    private RouterState routerState(Request request) {
        return mRouterStates.computeIfAbsent(request.turn().router(), r -> new RouterState(mFleet));
    }

    private SidecarState sidecar(Engine engine) {
        return mSidecars.computeIfAbsent(engine, SidecarState::new);
    }

    /** Handles a request that arrives at a sidecar. */
    private void deliver(Request request, SidecarState at, boolean firstStop) {
        request.visited().add(at.engine());
        ChatLocation location = locateChat(request, at, firstStop);
        if (location instanceof ChatLocation.AskPeers ask) {
            location = askPeers(request, at, ask);
        }
        if (location instanceof ChatLocation.Remote remote) {
            Engine to = mFleet.engine(remote.server());
            if (to.isAlive() && !request.visited().contains(to)) {
                redirect(request, to);
                return;
            }
        }
        applyBound(request, at);
    }

    private ChatLocation locateChat(Request request, SidecarState at, boolean firstStop) {
        ChatLocationQuery query =
                new ChatLocationQuery(
                        request.turn().chat().key(),
                        BoundPolicy.hasCacheAffinity(request.workAt(at.engine())),
                        firstStop,
                        at.isRecentlyJoined(mFleet.now()));
        return at.locator().locate(query, mFleet.sidecarView(at.engine()));
    }

    /**
     * Asks the servers that may know the chat location. The location is the server that caches the
     * most of the chat's history, this server if none caches more.
     */
    private ChatLocation askPeers(Request request, SidecarState at, ChatLocation.AskPeers ask) {
        request.addHop();
        ChatKey chat = request.turn().chat().key();
        int maxCached = request.workAt(at.engine()).cachedTokens();
        Engine best = at.engine();
        for (Candidate c : ask.candidates()) {
            Engine asked = mFleet.engine(c.id());
            if (!asked.isAlive()) {
                continue;
            }
            String entry = sidecar(asked).directory().find(chat);
            Engine holder = entry == null ? asked : mFleet.engine(entry);
            int cached = request.workAt(holder).cachedTokens();
            if (holder.isAlive() && cached > maxCached) {
                best = holder;
                maxCached = cached;
            }
        }
        return best == at.engine() ? ChatLocation.LOCAL : new ChatLocation.Remote(best.id());
    }

    private void redirect(Request request, Engine to) {
        request.addRedirect();
        mFleet.controlBytes().addPerRequest(ControlBytes.REDIRECT);
        deliver(request, sidecar(to), false);
    }

    /** Applies the load bound at the engine's sidecar. */
    private void applyBound(Request request, SidecarState at) {
        Engine e = at.engine();
        Engine next = redirectTarget(request, e);
        if (e.isDraining()) {
            redirectOrReject(request, next);
            return;
        }
        double mean = mFleet.reportedMean(e.service());
        BoundDecision decision =
                mBoundPolicy.decide(boundQuery(request, e, next != null), e.work(), mean);
        switch (decision) {
            case ADMIT -> admit(request, at);
            case WAIT -> hold(request, at);
            case REDIRECT -> redirect(request, next);
            default -> mFleet.reject(request);
        }
    }

    private BoundQuery boundQuery(Request request, Engine engine, boolean hasNext) {
        WorkEstimate work = request.workAt(engine);
        return new BoundQuery(
                work,
                request.redirects(),
                hasNext,
                request.hasWaited(),
                isDeadlineReachable(request, work, engine));
    }

    private boolean isDeadlineReachable(Request request, WorkEstimate work, Engine engine) {
        long now = mFleet.now();
        long prefill = engine.prefillMicros(work.uncachedTokens());
        long firstToken = engine.firstTokenAt(work.uncachedTokens(), now);
        long left = request.turn().at() + request.turn().deadline() - now;
        return FirstTokenDeadline.isReachable(
                Duration.of(firstToken - now - prefill, ChronoUnit.MICROS),
                Duration.of(prefill, ChronoUnit.MICROS),
                Duration.of(left, ChronoUnit.MICROS),
                DEADLINE_GRACE);
    }

    private void redirectOrReject(Request request, Engine next) {
        if (next == null || request.redirects() > mBoundConfig.maxRedirects()) {
            mFleet.reject(request);
            return;
        }
        redirect(request, next);
    }

    /** Returns the engine that a request would be redirected to, or null if there is none. */
    private Engine redirectTarget(Request request, Engine from) {
        Set<String> visited = new HashSet<>();
        request.visited().forEach(e -> visited.add(e.id()));
        ServiceView view = mFleet.sidecarView(from);
        List<String> open = sidecar(from).openServers();
        while (true) {
            Candidate c = RedirectPolicy.choose(request.turn().chat().key(), view, open, visited);
            if (c == null || mFleet.engine(c.id()).isAlive()) {
                return c == null ? null : mFleet.engine(c.id());
            }
            visited.add(c.id());
        }
    }

    private void admit(Request request, SidecarState at) {
        ChatKey chat = request.turn().chat().key();
        Engine e = at.engine();
        Candidate home = mFleet.sidecarView(e).ranking().home(chat);
        Engine homeEngine = home == null ? e : mFleet.engine(home.id());
        if (homeEngine == e) {
            at.directory().remove(chat);
        } else {
            sidecar(homeEngine).directory().put(chat, e.id());
        }
        at.heldChats().onAdmit(chat, home);
        routerState(request).onChatLocated(chat, e.id(), home);
        mFleet.controlBytes().addPerRequest(ControlBytes.ANSWER_HINT);
        mFleet.start(request, e);
    }

    private void hold(Request request, SidecarState at) {
        at.waitingRequests().add(request);
        mFleet.schedule(
                mMaxWaitMicros,
                () -> {
                    if (at.waitingRequests().remove(request)) {
                        request.setWaited();
                        applyBound(request, at);
                    }
                });
    }

    @Override
    public void onEnd(Engine engine, Request request) {
        SidecarState at = sidecar(engine);
        int waiting = at.waitingRequests().size();
        for (int i = 0; i < waiting; i++) {
            Request first = at.waitingRequests().poll();
            if (!isAdmissible(first, engine)) {
                at.waitingRequests().addFirst(first);
                return;
            }
            admit(first, at);
        }
    }

    private boolean isAdmissible(Request request, Engine engine) {
        double mean = mFleet.reportedMean(engine.service());
        return mBoundPolicy.decide(boundQuery(request, engine, false), engine.work(), mean)
                == BoundDecision.ADMIT;
    }

    @Override
    public void onJoin(Engine engine) {
        sidecar(engine).onJoin(mFleet.now());
    }

    /** Hands each directory entry over to the chat's next home. */
    @Override
    public void onDrain(Engine engine) {
        ServiceView view = mFleet.sidecarView(engine);
        sidecar(engine)
                .directory()
                .forEach(
                        (chat, location) -> {
                            List<Candidate> next = view.ranking().topWithout(chat, engine.id(), 1);
                            if (!next.isEmpty()) {
                                Engine e = mFleet.engine(next.get(0).id());
                                sidecar(e).directory().put(chat, location);
                            }
                        });
    }

    /**
     * The other servers tell the new homes which chats they cache whose home was the departed
     * server.
     */
    @Override
    public void onDrop(Engine engine) {
        for (Engine e : mFleet.engines(engine.service())) {
            if (e.isAlive()) {
                ServiceView view = mFleet.latestView(e.service());
                sidecar(e)
                        .heldChats()
                        .onLeave(
                                engine.id(),
                                view,
                                (home, chat) -> recordChatLocation(home, chat, e));
            }
        }
    }

    private void recordChatLocation(Candidate home, ChatKey chat, Engine holder) {
        sidecar(mFleet.engine(home.id())).directory().put(chat, holder.id());
    }

    @Override
    public String initialEngine(Request request) {
        return candidates(request).get(0).id();
    }
}
