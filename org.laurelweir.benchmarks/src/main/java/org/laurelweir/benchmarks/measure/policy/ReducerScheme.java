package org.laurelweir.benchmarks.measure.policy;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.agrona.collections.Long2ObjectHashMap;
import org.laurelweir.admission.SidecarEffect;
import org.laurelweir.admission.SidecarEvent;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.attempt.Frame;
import org.laurelweir.benchmarks.measure.fleet.ControlBytes;
import org.laurelweir.benchmarks.measure.fleet.Engine;
import org.laurelweir.benchmarks.measure.fleet.Fleet;
import org.laurelweir.benchmarks.measure.fleet.Request;
import org.laurelweir.benchmarks.measure.fleet.Scheme;
import org.laurelweir.benchmarks.measure.workload.Turn;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.placement.AffinityPolicy;
import org.laurelweir.placement.Candidate;
import org.laurelweir.placement.PlacementPolicy;
import org.laurelweir.placement.ServiceView;

/**
 * Runs the sidecars' production reducers, one for each engine, with the routers' production policy.
 * It applies the effects of the reducers to the fleet and passes the events of the fleet to the
 * reducers.
 */
final class ReducerScheme implements Scheme {
    /** One-way latency between two processes of a region. */
    private static final long MESSAGE_MICROS = 1000;

    private static final Duration REQUEST_TIMEOUT = Duration.ofMinutes(10);

    private final Fleet mFleet;
    private final Function<Request, String> mAccount;
    private final double mWorkCeiling;
    private final PlacementPolicy mRouterPolicy = new AffinityPolicy();
    private final Map<Engine, ReducerNode> mNodes = new HashMap<>();
    private final Map<Integer, RouterState> mRouterStates = new HashMap<>();
    private final Long2ObjectHashMap<Request> mRequestsByStream = new Long2ObjectHashMap<>();
    private final Map<Long, PendingLookup> mPendingLookups = new HashMap<>();
    private long mLastId;

    /**
     * A request for chat locations that waits for its answer.
     *
     * @param asker the sidecar that gets the answer
     * @param requestId the asker's number of the request
     */
    private record PendingLookup(ReducerNode asker, long requestId) {}

    ReducerScheme(Fleet fleet) {
        this(fleet, request -> request.placement().account(), Double.POSITIVE_INFINITY);
    }

    /**
     * Creates a scheme with a ceiling on the work of one engine. The mean work reported to the
     * sidecars is capped so that the bound's factor times the mean is at most the ceiling.
     *
     * @param account the client account that the sidecars see for a request
     * @param ceiling in work units; infinite for none
     */
    ReducerScheme(Fleet fleet, Function<Request, String> account, double ceiling) {
        mFleet = fleet;
        mAccount = account;
        mWorkCeiling = ceiling;
        for (int s = 0; s < fleet.deployment().services().size(); s++) {
            fleet.engines(s).forEach(this::node);
        }
    }

    private ReducerNode node(Engine engine) {
        return mNodes.computeIfAbsent(
                engine, e -> new ReducerNode(mFleet, e, mWorkCeiling, this::performEffect));
    }

    private RouterState routerState(Request request) {
        return mRouterStates.computeIfAbsent(request.turn().router(), r -> new RouterState(mFleet));
    }

    @Override
    public void onArrival(Request request) {
        for (Candidate c : candidates(request)) {
            Engine e = mFleet.engine(c.id());
            if (e.isAlive()) {
                routerState(request).onSuccess(e.id());
                deliver(request, e);
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

    private void deliver(Request request, Engine to) {
        long stream = ++mLastId;
        mRequestsByStream.put(stream, request);
        AttemptRequest attempt = newAttempt(request, stream, to.candidate().ref());
        node(to).step(new SidecarEvent.AttemptRequested(stream, attempt));
    }

    private AttemptRequest newAttempt(Request request, long stream, BackendRef target) {
        Turn turn = request.turn();
        String router = "router-" + turn.router();
        return new AttemptRequest(
                new AttemptId(router, 1, stream, 1),
                target,
                mAccount.apply(request),
                "service-" + turn.chat().service(),
                turn.chat().key().hash(),
                turn.history() > 0,
                new AttemptRequest.Call("POST", "/", List.of(), new byte[0], true),
                true,
                "",
                REQUEST_TIMEOUT,
                0,
                new AttemptRequest.Cost(turn.prompt(), request.placement().work().outputTokens()),
                request.redirects(),
                1,
                Duration.ZERO);
    }

    /** Applies an effect of a reducer to the fleet. */
    private void performEffect(ReducerNode from, SidecarEffect effect) {
        if (effect instanceof SidecarEffect.StartEngineCall e) {
            start(from, e.request().id());
        } else if (effect instanceof SidecarEffect.SendFrame e) {
            if (e.frame().frame() instanceof Frame.Refused refused) {
                onRefused(e.stream(), refused);
            }
        } else if (effect instanceof SidecarEffect.SendExchange e) {
            mFleet.schedule(MESSAGE_MICROS, () -> from.onExchange(e.cursor()));
        } else if (effect instanceof SidecarEffect.LocateChats e) {
            sendLookup(from, e);
        } else if (effect instanceof SidecarEffect.AnswerLocateChats e) {
            PendingLookup lookup = mPendingLookups.remove(e.call());
            sendEvent(
                    lookup.asker(),
                    new SidecarEvent.ChatsLocated(lookup.requestId(), e.locations()));
        } else if (effect instanceof SidecarEffect.HandOverChats e) {
            ReducerNode to = node(mFleet.engine(e.address()));
            sendEvent(to, new SidecarEvent.ChatsHandedOver(from.engine().id(), e.locations()));
        }
    }

    private void sendEvent(ReducerNode to, SidecarEvent event) {
        mFleet.schedule(MESSAGE_MICROS, () -> to.step(event));
    }

    private void sendLookup(ReducerNode from, SidecarEffect.LocateChats ask) {
        long call = ++mLastId;
        mPendingLookups.put(call, new PendingLookup(from, ask.requestId()));
        sendEvent(
                node(mFleet.engine(ask.address())),
                new SidecarEvent.LocateChatsRequested(call, ask.chats()));
    }

    private void start(ReducerNode at, AttemptId attempt) {
        Request request = mRequestsByStream.remove(attempt.request());
        request.setAttempt(attempt);
        Candidate home =
                mFleet.sidecarView(at.engine()).ranking().home(request.turn().chat().key());
        routerState(request).onChatLocated(request.turn().chat().key(), at.engine().id(), home);
        mFleet.controlBytes().addPerRequest(ControlBytes.ANSWER_HINT);
        mFleet.start(request, at.engine());
        // An end without an earlier head is a failure to the reducer.
        mFleet.schedule(0, () -> at.onAnswerHead(attempt));
    }

    /** Follows a redirect as a router does, or rejects the request. */
    private void onRefused(long stream, Frame.Refused refused) {
        Request request = mRequestsByStream.remove(stream);
        Engine to = mFleet.engine(refused.redirectTo());
        if (to == null || !to.isAlive()) {
            mFleet.reject(request);
            return;
        }
        request.addRedirect();
        mFleet.controlBytes().addPerRequest(ControlBytes.REDIRECT);
        mFleet.schedule(MESSAGE_MICROS, () -> deliverRedirected(request, to));
    }

    private void deliverRedirected(Request request, Engine to) {
        if (to.isAlive()) {
            deliver(request, to);
        } else {
            onArrival(request);
        }
    }

    @Override
    public void onEnd(Engine engine, Request request) {
        node(engine).onFinished(request);
    }

    @Override
    public void onJoin(Engine engine) {
        node(engine);
    }

    @Override
    public String initialEngine(Request request) {
        return candidates(request).get(0).id();
    }
}
