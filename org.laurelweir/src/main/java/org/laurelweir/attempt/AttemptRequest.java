package org.laurelweir.attempt;

import java.time.Duration;
import java.util.List;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;

/**
 * What a router asks a sidecar to run.
 *
 * @param id names the attempt in every frame
 * @param target the run of the sidecar that the router means; another run refuses
 * @param account the client account
 * @param service the service of the backend server
 * @param chat the chat's key, or 0 where the request belongs to none
 * @param returning whether the chat has earlier turns
 * @param call the HTTP call to make
 * @param idempotent whether running the call twice is harmless
 * @param idempotencyKey the caller's key, or empty
 * @param timeLeft until the caller's deadline, as of sending
 * @param priority higher goes first
 * @param cost what the router expects the call to spend
 * @param redirects how many sidecars have passed the request on before
 * @param accountWeight the client account's share when accounts compete
 * @param keepOutput how long the finished output stays available to a resend
 */
public record AttemptRequest(
        AttemptId id,
        BackendRef target,
        String account,
        String service,
        long chat,
        boolean returning,
        Call call,
        boolean idempotent,
        String idempotencyKey,
        Duration timeLeft,
        int priority,
        Cost cost,
        int redirects,
        double accountWeight,
        Duration keepOutput) {

    /** Returns this request without its body, for a process that has passed the body on. */
    public AttemptRequest withoutBody() {
        Call bare =
                new Call(call.method(), call.path(), call.headers(), new byte[0], call.streamed());
        return new AttemptRequest(
                id,
                target,
                account,
                service,
                chat,
                returning,
                bare,
                idempotent,
                idempotencyKey,
                timeLeft,
                priority,
                cost,
                redirects,
                accountWeight,
                keepOutput);
    }

    /**
     * An HTTP call on a backend server.
     *
     * @param method the HTTP method
     * @param path path and query
     * @param headers those to pass on
     * @param body the whole body
     * @param streamed whether the answer is wanted as a stream of events
     */
    public record Call(
            String method, String path, List<Header> headers, byte[] body, boolean streamed) {}

    /**
     * What a call is expected to spend.
     *
     * @param promptTokens tokens of the prompt, cached or not
     * @param outputTokens tokens that will be generated
     */
    public record Cost(int promptTokens, int outputTokens) {}
}
