package org.laurelweir.routing;

import java.time.Duration;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.placement.OutlierConfig;

/**
 * A caller's request once the I/O code has read, authenticated and resolved it.
 *
 * @param account the client account
 * @param service the service
 * @param chat the chat's key, or 0 for a request without a chat
 * @param returning whether the chat has earlier turns
 * @param call the call to make on the backend server
 * @param idempotent whether running the call twice is harmless
 * @param idempotencyKey the caller's idempotency key, or empty
 * @param deadline how long the caller waits for the complete answer
 * @param priority requests with a higher number run first
 * @param cost the expected cost of the call
 * @param policy the settings that apply to this request
 * @param ejection when the service's failing backend servers are ejected, that is, tried last
 */
public record CallerRequest(
        String account,
        String service,
        long chat,
        boolean returning,
        AttemptRequest.Call call,
        boolean idempotent,
        String idempotencyKey,
        Duration deadline,
        int priority,
        AttemptRequest.Cost cost,
        RequestPolicy policy,
        OutlierConfig ejection) {}
