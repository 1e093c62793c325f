package org.laurelweir.routing;

import java.time.Duration;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.placement.OutlierConfig;

/**
 * A caller's request after the shell has read and resolved it: authenticated, its service known.
 *
 * @param account the client account
 * @param service the service
 * @param chat the chat's key, or 0
 * @param returning whether the chat has earlier turns
 * @param call the call to make on the backend server
 * @param idempotent whether running the call twice is harmless
 * @param idempotencyKey the caller's key, or empty
 * @param deadline how long the caller waits for the whole answer
 * @param priority higher goes first
 * @param cost what the call is expected to spend
 * @param policy the settings that bind this request
 * @param ejection when the service's failing backend servers are tried last
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
