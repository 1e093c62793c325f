package org.laurelweir.router.rpc;

import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.laurelweir.direct.DirectEffect;
import org.laurelweir.direct.DirectEvent;
import org.laurelweir.direct.RequestExplanation;
import org.laurelweir.direct.RoutedRequest;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.router.request.RouteResolver;
import org.laurelweir.wire.v1.BackendRef;
import org.laurelweir.wire.v1.ExplainUnsentReply;
import org.laurelweir.wire.v1.ExplainUnsentRequest;
import org.laurelweir.wire.v1.UnsentRefusal;
import org.laurelweir.wire.v1.UnsentServer;
import org.laurelweir.wire.v1.UnsentService;

/**
 * Answers operators who ask what would happen to a request now. The route is found on the calling
 * thread, the rest is answered by the decision loop. Nothing is sent and nothing changes.
 */
public final class UnsentRequests {
    private final String mRouter;
    private final RouteResolver mRoutes;
    private final Consumer<DirectEvent> mEvents;
    private final AtomicLong mLastQuery = new AtomicLong();
    private final Map<Long, StreamObserver<ExplainUnsentReply>> mPending =
            new ConcurrentHashMap<>();

    /**
     * Creates the answers.
     *
     * @param router the name of this router
     * @param routes finds the route of a request
     * @param events receives the questions for the decision loop
     */
    public UnsentRequests(String router, RouteResolver routes, Consumer<DirectEvent> events) {
        mRouter = router;
        mRoutes = routes;
        mEvents = events;
    }

    void explain(ExplainUnsentRequest question, StreamObserver<ExplainUnsentReply> reply) {
        RoutedRequest request;
        try {
            request =
                    mRoutes.resolveUnsent(
                            question.getHost(),
                            question.getPath(),
                            question.getAccount(),
                            question.getPromptParts(),
                            question.getPromptTokens());
        } catch (LaurelweirException e) {
            reply.onNext(refusedReply(question, e));
            reply.onCompleted();
            return;
        }
        long query = mLastQuery.incrementAndGet();
        if (reply instanceof ServerCallStreamObserver<ExplainUnsentReply> call) {
            // With a handler, a reply to a call that was cancelled is dropped without an exception.
            call.setOnCancelHandler(() -> mPending.remove(query));
        }
        mPending.put(query, reply);
        mEvents.accept(new DirectEvent.ExplanationRequested(query, request));
    }

    private ExplainUnsentReply refusedReply(ExplainUnsentRequest q, LaurelweirException e) {
        return ExplainUnsentReply.newBuilder()
                .setRouter(mRouter)
                .setAccount(q.getAccount())
                .setFleetAgeMillis(Double.NaN)
                .setRefusal(refusal(e.getCode(), e.getMessage(), Duration.ZERO))
                .build();
    }

    /** Called by the decision loop with the answer to a question. */
    public void onExplained(DirectEffect.Explain effect) {
        StreamObserver<ExplainUnsentReply> reply = mPending.remove(effect.query());
        if (reply != null) {
            reply.onNext(toReply(effect.explanation()));
            reply.onCompleted();
        }
    }

    private ExplainUnsentReply toReply(RequestExplanation e) {
        RoutedRequest r = e.request();
        ExplainUnsentReply.Builder reply =
                ExplainUnsentReply.newBuilder()
                        .setRouter(mRouter)
                        .setRoute(r.route().name())
                        .setAccount(r.account())
                        .setPriority(r.priority())
                        .setTimeLeftMillis(r.timeLeft().toMillis())
                        .setObjectiveMillis(r.route().objective().toMillis())
                        .setMaxAttempts(r.route().maxAttempts())
                        .setRepeatable(r.route().isRepeatable())
                        .setContended(r.terms().contended())
                        .setAccountWeight(r.terms().accountWeight())
                        .setFleetAgeMillis(e.fleetAgeMillis());
        if (r.allowedRegions().isLimited()) {
            reply.setAllowedRegions(String.join(", ", r.allowedRegions().names()));
        }
        e.services().forEach(s -> reply.addServices(toWire(s)));
        return reply.build();
    }

    private static UnsentService toWire(RequestExplanation.Service s) {
        UnsentService.Builder service =
                UnsentService.newBuilder()
                        .setService(s.service())
                        .setWeight(s.weight())
                        .setServing(s.serving())
                        .setMeanLoad(s.mean())
                        .setBound(Double.NaN);
        s.servers().forEach(b -> service.addServers(toWire(b)));
        s.choice()
                .ifPresent(
                        c ->
                                service.setChoice(c.server())
                                        .setReason(c.reason())
                                        .setBound(c.bound()));
        s.refusal()
                .ifPresent(
                        r -> service.setRefusal(refusal(r.code(), r.message(), r.maxRetryAfter())));
        return service.build();
    }

    private static UnsentServer toWire(RequestExplanation.Server s) {
        return UnsentServer.newBuilder()
                .setRef(
                        BackendRef.newBuilder()
                                .setId(s.ref().id())
                                .setIncarnation(s.ref().incarnation()))
                .setAddress(s.address())
                .setDataCentre(s.dataCentre())
                .setVersion(s.version())
                .setLoad(s.load())
                .setLoadAgeMillis(s.loadAgeMillis())
                .setOwnRequests(s.ownRequests())
                .setSlots(s.slots())
                .setTokens(s.tokens())
                .setMemoryTokens(s.memoryTokens())
                .setFailureRate(s.failureRate())
                .setUnreliable(s.isUnreliable())
                .setSlowStart(s.isInSlowStart())
                .build();
    }

    private static UnsentRefusal refusal(ResultCode code, String message, Duration delay) {
        return UnsentRefusal.newBuilder()
                .setCode(code.number())
                .setName(code.name())
                .setMessage(message)
                .setMaxRetryAfterMillis(delay.toMillis())
                .build();
    }
}
