package org.laurelweir.admission;

import java.time.Duration;
import java.util.List;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;

/** Builders of attempt requests with the default values of these tests. */
final class Requests {
    static final String SERVICE = "seilhjerne";

    private static final BackendRef TARGET = new BackendRef("engine-1", 1);

    private Requests() {}

    static AttemptRequest.Builder request(long number) {
        return request(id(number), TARGET);
    }

    static AttemptRequest.Builder request(AttemptId id, BackendRef target) {
        return AttemptRequest.builder(id, target)
                .account("account", 1)
                .service(SERVICE)
                .call(call(0))
                .timeLeft(Duration.ofMinutes(1))
                .cost(outputCost(100));
    }

    /** Returns a request that must not run twice. */
    static AttemptRequest.Builder nonIdempotentRequest(
            long number, String key, Duration outputKeepTime) {
        return request(number).idempotent(false).idempotencyKey(key).outputKeepTime(outputKeepTime);
    }

    static AttemptId id(long number) {
        return new AttemptId("router-1", 1, number, 1);
    }

    static AttemptRequest.Call call(int bodyBytes) {
        return new AttemptRequest.Call(
                "POST", "/v1/chat/completions", List.of(), new byte[bodyBytes], true);
    }

    static AttemptRequest.Cost outputCost(int tokens) {
        return new AttemptRequest.Cost(0, tokens);
    }
}
