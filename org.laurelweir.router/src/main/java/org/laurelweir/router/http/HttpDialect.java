package org.laurelweir.router.http;

import java.util.Set;

/**
 * The names under which callers and backend servers without sidecars say what the router has to
 * know. Deployments differ in them and in nothing else.
 *
 * @param keyScheme the scheme of the Authorization header that carries a key
 * @param requestId header with the caller's own name of a request; backend servers echo it
 * @param timeLeft header with the milliseconds that the receiver of a request may take
 * @param target header that names the backend server which is meant; another one refuses
 * @param account header that tells a backend server the client account
 * @param priority header that tells an engine the priority, from 0, the first, to 9
 * @param promptTokens header with a prompt's tokens and the most tokens to generate, as N,M
 * @param promptParts header with a prompt's parts in order, as ID:TOKENS elements with the id in
 *     hexadecimal
 * @param notRun header by which a backend server says that it did not run a request
 * @param load header with a backend server's running and waiting requests and its slots, as N,N,N
 * @param seal header that every genuine success bears, or empty where there is none
 * @param resumeAfter header with the id of the last event that the receiver of a stream has
 * @param fetchFrom header with the address of another engine, from which the receiver fetches what
 *     that one holds of the prompt and it doesn't hold itself
 * @param reserved lower-case headers that only the router may set; a caller's own are dropped
 * @param exactRetryAfter whether callers read fractions of a second in Retry-After
 */
public record HttpDialect(
        String keyScheme,
        String requestId,
        String timeLeft,
        String target,
        String account,
        String priority,
        String promptTokens,
        String promptParts,
        String notRun,
        String load,
        String seal,
        String resumeAfter,
        String fetchFrom,
        Set<String> reserved,
        boolean exactRetryAfter) {
    /** The product's own names. */
    public static final HttpDialect DEFAULT =
            new HttpDialect(
                    "Bearer",
                    "X-Request-Id",
                    "X-Timeout-Ms",
                    "X-Backend-Server",
                    "X-Client-Account",
                    "X-Engine-Priority",
                    "X-Prompt-Tokens",
                    "X-Prompt-Parts",
                    "X-Not-Run",
                    "X-Server-Load",
                    "",
                    "Last-Event-ID",
                    "X-Fetch-From",
                    Set.of("x-fetch-from"),
                    false);

    /** Copies the set. */
    public HttpDialect {
        reserved = Set.copyOf(reserved);
    }
}
