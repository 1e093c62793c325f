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

/** A fleet in virtual time: control instances, routers, backend servers, and callers. */
final class RoutedFleet {
    static final int ROUTER_COUNT = 9;
    static final int CONTROL_COUNT = 3;
    static final String ACCOUNT = "acme";
    private static final int PART_TOKENS = 100;

    /** The ids of the last parts, which no other prompt has. */
    private static final long FIRST_OWN_PART = 1L << 40;

    private static final int SERVER_COUNT = 6;
    private static final int START_MILLIS = 2000;
    private static final int MIN_RETRY_MILLIS = 20;
    private static final int MAX_RETRY_MILLIS = 200;
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    final VirtualTime mTime;
    final FleetControls mControls;
    final FleetServers mServers;
    final List<FleetRouter> mRouters = new ArrayList<>();
    private int mRequests;

    RoutedFleet(long seed) {
        this(seed, ROUTER_COUNT, SERVER_COUNT);
    }

    RoutedFleet(long seed, int routers, int servers) {
        mTime = new VirtualTime(seed);
        mControls = new FleetControls(mTime, CONTROL_COUNT);
        mServers = new FleetServers(mTime, mControls, servers);
        for (int i = 0; i < routers; i++) {
            mRouters.add(new FleetRouter(mTime, mControls, mServers, i));
        }
        mTime.advance(START_MILLIS);
    }

    /** Returns a route with two attempts. */
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

    /** Returns the key of a request, which does not depend on the caller. */
    static SuspectKey requestKey(Route route, String body) {
        return SuspectKey.request(ACCOUNT, call(route, body).fingerprint());
    }

    /** Sends a request to a random router. */
    void submit(Route route, String body, Consumer<ResultCode> result) {
        submit(route, ACCOUNT, body, Prompt.NONE, result);
    }

    /**
     * Sends a request with a prompt and a unique body to a random router.
     *
     * @param sharedParts the ids of the parts before the last one, which is unique
     * @return the body
     */
    String submitPrompt(
            Route route, String account, List<Long> sharedParts, Consumer<ResultCode> result) {
        String body = "prompt " + mRequests;
        List<Prompt.Part> parts = new ArrayList<>();
        sharedParts.forEach(id -> parts.add(new Prompt.Part(id, PART_TOKENS)));
        parts.add(new Prompt.Part(FIRST_OWN_PART + mRequests, PART_TOKENS));
        Prompt prompt = new Prompt(parts, parts.size() * PART_TOKENS, PART_TOKENS);
        submit(route, account, body, prompt, result);
        return body;
    }

    private void submit(
            Route route, String account, String body, Prompt prompt, Consumer<ResultCode> result) {
        RoutedRequest request =
                new RoutedRequest(
                        "q" + ++mRequests, route, account, 5, TIMEOUT, call(route, body), prompt);
        mRouters.get(mTime.random().nextInt(mRouters.size())).submit(request, result);
    }

    /** Sends a request with a unique body, and sends it again once if it fails. */
    void submitUnique(Route route, Consumer<ResultCode> result) {
        String body = "body " + mRequests;
        submit(
                route,
                body,
                code -> {
                    result.accept(code);
                    if (code != ResultCode.OK) {
                        mTime.afterRandomDelay(
                                MIN_RETRY_MILLIS,
                                MAX_RETRY_MILLIS,
                                () -> submit(route, body, result));
                    }
                });
    }
}
