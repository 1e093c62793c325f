package org.laurelweir.standin;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * One run of one request at a stand-in. Times are ISO-8601 instants.
 *
 * @param id the stand-in's own id; a resumed run has the id of the run that it continues
 * @param requestId the caller's X-Request-Id header, or null
 * @param idempotencyKey the caller's Idempotency-Key header, or null
 * @param method the HTTP method
 * @param path the HTTP path
 * @param digest the digest of the prompt or of the body
 * @param started when the run began
 * @param ended when it ended; null while it runs
 * @param outcome how it ended; {@code RUNNING} until then
 * @param work the tokens that it used; null if the stand-in does not count tokens
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
        /** The connection was closed early by an injected fault. */
        CUT
    }

    /** The tokens that a run used; {@code promptTokens} includes {@code cachedTokens}. */
    public record Work(int promptTokens, int cachedTokens, int outputTokens) {}

    /** Returns this run with its end time, outcome and tokens. */
    public Execution end(String endTime, Outcome result, Work usedTokens) {
        return new Execution(
                id,
                requestId,
                idempotencyKey,
                method,
                path,
                digest,
                started,
                endTime,
                result,
                usedTokens);
    }
}
