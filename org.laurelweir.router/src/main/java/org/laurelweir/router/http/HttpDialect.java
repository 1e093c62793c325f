package org.laurelweir.router.http;

import java.util.Set;
import org.laurelweir.runtime.rpc.ServerNoticeReader;

/**
 * The names of the headers that callers and backend servers without sidecars exchange with the
 * router. Deployments may use other names, but with the same meanings.
 *
 * @param keyScheme the scheme of the Authorization header that carries a key
 * @param requestId header with the caller's id of the request, which backend servers return
 * @param timeLeft header with the milliseconds left for the receiver to answer the request
 * @param target header with the id of the intended backend server; any other one refuses
 * @param account header with the client account, sent to backend servers
 * @param priority header with the priority for an engine, from 0 (highest) to 9
 * @param promptTokens header with the prompt's tokens and the maximum of tokens to generate, as N,M
 * @param promptParts header with a prompt's parts in order, as ID:TOKENS elements with the id in
 *     hexadecimal
 * @param lengthHint header with the number of tokens that the caller expects to be generated
 * @param notRun header that is present if the backend server did not run the request
 * @param load header with a backend server's running and waiting requests and its slots, as N,N,N,
 *     and how long work takes on its machine, in percent of the usual time, as a fourth number
 * @param leaving header with which a backend server says in an answer that it is about to stop
 * @param seal header that every genuine successful answer has, or empty for no such header
 * @param resumeAfter header with the id of the last event that the receiver of a stream got
 * @param resumes header with the id of the request that brought a stream's first event, sent by a
 *     caller that goes on with that stream
 * @param fetchFrom header with the address of another engine, from which the receiver fetches the
 *     cached prompt parts that it lacks
 * @param reserved lower-case names of headers that only the router may set; it drops a caller's
 * @param exactRetryAfter whether callers accept fractions of a second in Retry-After
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
        String lengthHint,
        String notRun,
        String load,
        String leaving,
        String seal,
        String resumeAfter,
        String resumes,
        String fetchFrom,
        Set<String> reserved,
        boolean exactRetryAfter) {
    /** The default names. */
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
                    "X-Expected-Tokens",
                    "X-Not-Run",
                    "X-Server-Load",
                    ServerNoticeReader.DEFAULT_LEAVING_HEADER,
                    "",
                    "Last-Event-ID",
                    "X-Resumes",
                    "X-Fetch-From",
                    Set.of("x-fetch-from"),
                    false);

    /** Copies the set of reserved headers. */
    public HttpDialect {
        reserved = Set.copyOf(reserved);
    }
}
