package org.laurelweir.standin;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * One run of one request at a stand-in. Times are ISO-8601 instants.
 *
 * @param id the stand-in's own id; a resumed run has the id of the one that it goes on with
 * @param requestId the caller's X-Request-Id header, or null
 * @param idempotencyKey the caller's Idempotency-Key header, or null
 * @param method the HTTP method
 * @param path the HTTP path
 * @param digest the digest of the prompt or of the body
 * @param started when the run began
 * @param ended when it ended; null while it runs
 * @param outcome how it ended; {@code RUNNING} until then
 * @param work what it used; null where the stand-in has no tokens
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Execution(
        String id,
        String requestId,
        String idempotencyKey,
        String method,
        String path,
        String digest,
        String started,
        String ended,
        Outcome outcome,
        Work work) {

    /** How a run ended. */
    public enum Outcome {
        RUNNING,
        FINISHED,
        CANCELLED,
        /** Cut by a fault that was asked for. */
        CUT
    }

    /** Tokens that a run used. */
    public record Work(int promptTokens, int cachedTokens, int outputTokens) {}

    /** Returns this run at its end. */
    public Execution end(String at, Outcome how, Work used) {
        return new Execution(
                id, requestId, idempotencyKey, method, path, digest, started, at, how, used);
    }
}
