package org.laurelweir.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.laurelweir.answer.BodyFraming;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.direct.AnswerMetadata;
import org.laurelweir.direct.DirectEffect.BeginCall;
import org.laurelweir.direct.DirectEvent;
import org.laurelweir.direct.Prompt;
import org.laurelweir.direct.Route;
import org.laurelweir.direct.RoutedRequest;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.load.LoadDigest;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.MembershipDelta;
import org.laurelweir.membership.PlacementRules;
import org.laurelweir.quarantine.CrashDelta;
import org.laurelweir.settings.RouteShare;

/** Drives a router with requests to one routed service, and with answers of control instances. */
final class RoutedRequestDriver {
    static final String SERVICE = "svc";

    private static final Duration SECOND = Duration.ofSeconds(1);

    private final RouterReducer mRouter;
    private final Consumer<BeginCall> mOnCall;
    private Instant mNow = Instant.EPOCH;

    /**
     * Creates a driver at the epoch.
     *
     * @param config the router's configuration
     * @param onCall receives the calls to backend servers
     */
    RoutedRequestDriver(RouterConfig config, Consumer<BeginCall> onCall) {
        mRouter = new RouterReducer(config);
        mOnCall = onCall;
    }

    static Backend backend(String id, long incarnation, int session) {
        return new Backend(
                new BackendRef(id, incarnation),
                SERVICE,
                "dc",
                "rg",
                id + ":80",
                Backend.State.SERVING,
                6,
                session);
    }

    /** Returns a request with three attempts and a body of its own. */
    static RoutedRequest request(long number, boolean idempotent, Prompt prompt) {
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        List.of(new RouteShare(SERVICE, 1)),
                        idempotent,
                        false,
                        false,
                        false,
                        3,
                        SECOND,
                        Duration.ofMillis(100),
                        Duration.ofMillis(100),
                        5);
        AttemptRequest.Call call =
                new AttemptRequest.Call("POST", "/x" + number, List.of(), new byte[0], false);
        return new RoutedRequest("id" + number, route, "acc", 5, SECOND, call, prompt);
    }

    Instant now() {
        return mNow;
    }

    /** Advances the time and sends one tick. */
    void advance(Duration time) {
        mNow = mNow.plus(time);
        step(new RouterEvent.Tick());
    }

    void step(RouterEvent event) {
        mRouter.step(
                mNow,
                event,
                e -> {
                    if (e instanceof RouterEffect.Direct d && d.effect() instanceof BeginCall c) {
                        mOnCall.accept(c);
                    }
                });
    }

    void step(DirectEvent event) {
        step(new RouterEvent.Direct(event));
    }

    /** Receives a control instance's view, which is a full one or a change. */
    void receive(MembershipCursor cursor, boolean full, int routers, List<Backend> backends) {
        step(
                new RouterEvent.ExchangeAnswered(
                        new MembershipDelta(cursor, full, backends),
                        CrashDelta.NONE,
                        LoadDigest.NONE,
                        List.of(),
                        routers,
                        PlacementRules.NONE));
    }

    /** Answers a call completely. */
    void answer(BeginCall call, int status, boolean notRun) {
        AnswerMetadata metadata =
                new AnswerMetadata(notRun, false, true, BodyFraming.LENGTH, Optional.empty());
        step(new DirectEvent.HeadReceived(call.call(), status, List.of(), metadata));
        step(new DirectEvent.Finished(call.call()));
    }

    /** Loses the connection of a call. */
    void loseConnection(BeginCall call) {
        step(new DirectEvent.Failed(call.call(), DirectEvent.Failure.CONNECTION_LOST, "reset"));
    }
}
