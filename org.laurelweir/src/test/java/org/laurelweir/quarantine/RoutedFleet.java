package org.laurelweir.quarantine;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.direct.Prompt;
import org.laurelweir.direct.Route;
import org.laurelweir.direct.RoutedRequest;
import org.laurelweir.fleet.FleetControls;
import org.laurelweir.fleet.FleetRouter;
import org.laurelweir.fleet.VirtualTime;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.settings.RouteShare;

/** Control instances, routers and backend servers in virtual time, and callers that ask them. */
final class RoutedFleet {
    static final int ROUTERS = 9;
    static final int CONTROLS = 3;
    private static final String ACCOUNT = "acme";
    private static final int SERVERS = 6;
    private static final int START_MILLIS = 2000;
    private static final int LEAST_RETURN_MILLIS = 20;
    private static final int MOST_RETURN_MILLIS = 200;
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    final VirtualTime mTime;
    final FleetControls mControls;
    final FleetServers mServers;
    final List<FleetRouter> mRouters = new ArrayList<>();
    private int mAsked;

    RoutedFleet(long seed) {
        mTime = new VirtualTime(seed);
        mControls = new FleetControls(mTime, CONTROLS);
        mServers = new FleetServers(mTime, mControls, SERVERS);
        for (int i = 0; i < ROUTERS; i++) {
            mRouters.add(new FleetRouter(mTime, mControls, mServers, i));
        }
        mTime.advance(START_MILLIS);
    }

    /** A route with two attempts. */
    static Route route(boolean idempotent, boolean streamed, boolean resumable) {
        return new Route(
                "r",
                "h",
                "/",
                List.of(new RouteShare(FleetServers.SERVICE, 1)),
                idempotent,
                streamed,
                resumable,
                false,
                2,
                TIMEOUT,
                Duration.ofMillis(400),
                Duration.ofMillis(400),
                5);
    }

    private static AttemptRequest.Call call(Route route, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return new AttemptRequest.Call("POST", "/x/1", List.of(), bytes, route.streamed());
    }

    /** What a request is known by, whoever of the account sends it. */
    static RequestKey keyOf(Route route, String body) {
        return RequestKey.of(ACCOUNT, call(route, body));
    }

    /** A caller asks any router. */
    void ask(Route route, String body, Consumer<ResultCode> answer) {
        RoutedRequest request =
                new RoutedRequest(
                        "q" + ++mAsked, route, ACCOUNT, 5, TIMEOUT, call(route, body), Prompt.NONE);
        mRouters.get(mTime.random().nextInt(ROUTERS)).submit(request, answer);
    }

    /** A caller asks with a body that nobody else sends, and comes again once if it fails. */
    void askAlone(Route route, Consumer<ResultCode> answer) {
        String body = "body " + mAsked;
        ask(
                route,
                body,
                code -> {
                    answer.accept(code);
                    if (code != ResultCode.OK) {
                        mTime.afterRandomDelay(
                                LEAST_RETURN_MILLIS,
                                MOST_RETURN_MILLIS,
                                () -> ask(route, body, answer));
                    }
                });
    }
}
