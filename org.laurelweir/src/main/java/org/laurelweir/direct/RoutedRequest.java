package org.laurelweir.direct;

import java.time.Duration;
import java.util.List;
import org.laurelweir.attempt.AttemptRequest;

/**
 * A caller's request with its route and its client account.
 *
 * @param id the request id of the caller, which is also sent to the backend server
 * @param route the route as in force when the request arrived
 * @param account the client account, or empty if the route needs no API key
 * @param priority requests with a higher priority go first, 0 to 9
 * @param timeLeft time until the caller's deadline or the route's timeout, whichever is earlier
 * @param call the HTTP request to send to the backend server
 * @param prompt the caller's description of the prompt, or {@link Prompt#NONE}
 * @param allowedRegions the regions whose backend servers may run the request
 * @param resumption the stream that the caller goes on with, or {@link Resumption#NONE}
 * @param terms the request's competition with others for room, or {@link RequestTerms#NONE}
 */
public record RoutedRequest(
        String id,
        Route route,
        String account,
        int priority,
        Duration timeLeft,
        AttemptRequest.Call call,
        Prompt prompt,
        AllowedRegions allowedRegions,
        Resumption resumption,
        RequestTerms terms) {
    /** Creates a request that may be served in every region and resumes no stream. */
    public RoutedRequest(
            String id,
            Route route,
            String account,
            int priority,
            Duration timeLeft,
            AttemptRequest.Call call,
            Prompt prompt) {
        this(
                id,
                route,
                account,
                priority,
                timeLeft,
                call,
                prompt,
                AllowedRegions.ALL,
                Resumption.NONE,
                RequestTerms.NONE);
    }

    /** Returns a copy of this request that goes on with a stream. */
    public RoutedRequest withResumption(Resumption newResumption) {
        return new RoutedRequest(
                id,
                route,
                account,
                priority,
                timeLeft,
                call,
                prompt,
                allowedRegions,
                newResumption,
                terms);
    }

    /** Returns a copy of this request with other terms. */
    public RoutedRequest withTerms(RequestTerms newTerms) {
        return new RoutedRequest(
                id,
                route,
                account,
                priority,
                timeLeft,
                call,
                prompt,
                allowedRegions,
                resumption,
                newTerms);
    }

    /**
     * Returns a copy of this request without its headers and body, which can't be sent any more.
     */
    RoutedRequest withoutContent() {
        AttemptRequest.Call withoutContent =
                new AttemptRequest.Call(
                        call.method(), call.path(), List.of(), new byte[0], call.streamed());
        return new RoutedRequest(
                id,
                route,
                account,
                priority,
                timeLeft,
                withoutContent,
                prompt,
                allowedRegions,
                resumption,
                terms);
    }
}
