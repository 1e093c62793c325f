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
 * The sidecars' own reducers, one beside each engine, behind the routers' policy: what they emit is
 * done to the fleet, and what the fleet does comes back to them as events.
 */
final class ReducerScheme implements Scheme {
    /** One way between two processes of a region. */
    private static final long MESSAGE_MICROS = 1000;

    private static final Duration TIME_LEFT = Duration.ofMinutes(10);

    private final Fleet mFleet;
    private final Function<Request, String> mAccount;
    private final double mCeiling;
    private final PlacementPolicy mRouterPolicy = new AffinityPolicy();
    private final Map<Engine, ReducerNode> mNodes = new HashMap<>();
    private final Map<Integer, RouterMemory> mRouters = new HashMap<>();
    private final Long2ObjectHashMap<Request> mStreams = new Long2ObjectHashMap<>();
    private final Map<Long, AnswerTo> mCalls = new HashMap<>();
    private long mCount;

    /** Who gets an answer about chats. */
    private record AnswerTo(ReducerNode asker, long question) {}

    ReducerScheme(Fleet fleet) {
        this(fleet, request -> request.placement().account(), Double.POSITIVE_INFINITY);
    }

    /**
     * The same, with the client account that the sidecars are told of each request, and with a
     * ceiling on the work of one engine: the mean that the sidecars hear is cut so that the set
     * multiple of it is no more.
     */
    ReducerScheme(Fleet fleet, Function<Request, String> account, double ceiling) {
        mFleet = fleet;
        mAccount = account;
        mCeiling = ceiling;
        for (int s = 0; s < fleet.deployment().services().size(); s++) {
            fleet.engines(s).forEach(this::node);
        }
    }

    private ReducerNode node(Engine engine) {
        return mNodes.computeIfAbsent(
                engine, e -> new ReducerNode(mFleet, e, mCeiling, this::perform));
    }

    private RouterMemory memory(Request request) {
        return mRouters.computeIfAbsent(request.turn().router(), r -> new RouterMemory(mFleet));
    }

    @Override
    public void onArrival(Request request) {
        for (Candidate c : candidates(request)) {
            Engine e = mFleet.engine(c.id());
            if (e.isAlive()) {
                memory(request).onSuccess(e.id());
                deliver(request, e);
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

    private void deliver(Request request, Engine to) {
        long stream = ++mCount;
        mStreams.put(stream, request);
        AttemptRequest attempt = attempt(request, stream, to.candidate().ref());
        node(to).step(new SidecarEvent.AttemptRequested(stream, attempt));
    }

    private AttemptRequest attempt(Request request, long stream, BackendRef target) {
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
                TIME_LEFT,
                0,
                new AttemptRequest.Cost(turn.prompt(), request.placement().work().outputTokens()),
                request.redirects(),
                1,
                Duration.ZERO);
    }

    /** Does what a reducer wants done. */
    private void perform(ReducerNode from, SidecarEffect effect) {
        if (effect instanceof SidecarEffect.StartEngineCall e) {
            start(from, e.request().id());
        } else if (effect instanceof SidecarEffect.SendFrame e) {
            if (e.frame().frame() instanceof Frame.Refused refused) {
                refused(e.stream(), refused);
            }
        } else if (effect instanceof SidecarEffect.SendExchange e) {
            mFleet.later(MESSAGE_MICROS, () -> from.exchange(e.cursor()));
        } else if (effect instanceof SidecarEffect.LocateChats e) {
            ask(from, e);
        } else if (effect instanceof SidecarEffect.AnswerLocateChats e) {
            AnswerTo to = mCalls.remove(e.call());
            tell(to.asker(), new SidecarEvent.ChatsLocated(to.question(), e.locations()));
        } else if (effect instanceof SidecarEffect.HandOverChats e) {
            ReducerNode to = node(mFleet.engine(e.address()));
            tell(to, new SidecarEvent.ChatsHandedOver(from.engine().id(), e.locations()));
        }
    }

    private void tell(ReducerNode to, SidecarEvent event) {
        mFleet.later(MESSAGE_MICROS, () -> to.step(event));
    }

    private void ask(ReducerNode from, SidecarEffect.LocateChats ask) {
        long call = ++mCount;
        mCalls.put(call, new AnswerTo(from, ask.requestId()));
        tell(
                node(mFleet.engine(ask.address())),
                new SidecarEvent.LocateChatsRequested(call, ask.chats()));
    }

    private void start(ReducerNode at, AttemptId attempt) {
        Request request = mStreams.remove(attempt.request());
        request.setAttempt(attempt);
        Candidate home =
                mFleet.sidecarView(at.engine()).ranking().home(request.turn().chat().key());
        memory(request).onSeat(request.turn().chat().key(), at.engine().id(), home);
        mFleet.control().addPerRequest(ControlBytes.ANSWER_HINT);
        mFleet.start(request, at.engine());
        // The head comes first, or the reducer takes the end for a failure.
        mFleet.later(0, () -> at.answered(attempt));
    }

    /** Follows a redirect, as a router does, or gives up. */
    private void refused(long stream, Frame.Refused refused) {
        Request request = mStreams.remove(stream);
        Engine to = mFleet.engine(refused.redirectTo());
        if (to == null || !to.isAlive()) {
            mFleet.reject(request);
            return;
        }
        request.addRedirect();
        mFleet.control().addPerRequest(ControlBytes.REDIRECT);
        mFleet.later(MESSAGE_MICROS, () -> arriveRedirected(request, to));
    }

    private void arriveRedirected(Request request, Engine to) {
        if (to.isAlive()) {
            deliver(request, to);
        } else {
            onArrival(request);
        }
    }

    @Override
    public void onEnd(Engine engine, Request request) {
        node(engine).finished(request);
    }

    @Override
    public void onJoin(Engine engine) {
        node(engine);
    }

    @Override
    public String earlierPlace(Request request) {
        return candidates(request).get(0).id();
    }
}
