package org.laurelweir.direct;

import java.time.Duration;
import org.laurelweir.attempt.AttemptRequest;

/**
 * A caller's request after the shell has found its route and its client account.
 *
 * @param id the caller's own name of the request; the backend server is shown the same
 * @param route its route, as in force on arrival
 * @param account the client account, or empty where the route needs no key
 * @param priority higher goes first, 0 to 9
 * @param timeLeft until the caller gives up or the route's timeout, whichever is earlier
 * @param call the call to make
 * @param prompt what is known of its prompt
 */
public record RoutedRequest(
        String id,
        Route route,
        String account,
        int priority,
        Duration timeLeft,
        AttemptRequest.Call call,
        Prompt prompt) {}
