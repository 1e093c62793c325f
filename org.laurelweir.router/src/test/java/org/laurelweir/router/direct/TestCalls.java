package org.laurelweir.router.direct;

import java.time.Duration;
import java.util.List;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.direct.DirectEffect;
import org.laurelweir.direct.Prompt;
import org.laurelweir.direct.Route;
import org.laurelweir.direct.RoutedRequest;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.settings.RouteShare;

/** Creates calls to a backend server for tests of its connections. */
final class TestCalls {
    private static final Duration SECOND = Duration.ofSeconds(1);

    private TestCalls() {}

    /**
     * Returns a call of a non-idempotent request.
     *
     * @param number the number of the call
     * @param id the id that the caller gave the request, or empty
     */
    static DirectEffect.BeginCall call(long number, BackendRef server, String id) {
        return call(number, server, "a:1", id, new byte[0]);
    }

    /** Returns a call of a non-idempotent request that has a body and no id. */
    static DirectEffect.BeginCall upload(
            long number, BackendRef server, String address, byte[] body) {
        return call(number, server, address, "", body);
    }

    private static DirectEffect.BeginCall call(
            long number, BackendRef server, String address, String id, byte[] body) {
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        List.of(new RouteShare("svc", 1)),
                        false,
                        false,
                        false,
                        false,
                        1,
                        SECOND,
                        SECOND,
                        SECOND,
                        5);
        AttemptRequest.Call call = new AttemptRequest.Call("POST", "/x", List.of(), body, false);
        RoutedRequest request = new RoutedRequest(id, route, "acc", 5, SECOND, call, Prompt.NONE);
        return new DirectEffect.BeginCall(number, server, address, request, SECOND, "", "");
    }
}
