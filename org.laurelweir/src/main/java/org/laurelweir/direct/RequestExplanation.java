package org.laurelweir.direct;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.ResultCode;

/**
 * What would happen to a request that arrives now.
 *
 * @param request the request, which was not sent
 * @param fleetAgeMillis age of the demand of all routers in milliseconds; NaN if this router knows
 *     its own requests only
 * @param services what would happen at each service of the route, of which the weights choose one
 */
public record RequestExplanation(
        RoutedRequest request, double fleetAgeMillis, List<Service> services) {
    /**
     * What would happen at one service.
     *
     * @param service the service
     * @param weight its weight among the services of the route
     * @param serving number of its backend servers that accept new requests
     * @param mean mean load of its backend servers in requests; NaN if unknown
     * @param servers the compared backend servers, best by rank first
     * @param choice the backend server that would get the request, unless it is refused
     * @param refusal why the request would be refused
     */
    public record Service(
            String service,
            double weight,
            int serving,
            double mean,
            List<Server> servers,
            Optional<Choice> choice,
            Optional<Refusal> refusal) {}

    /**
     * A backend server that is compared with others.
     *
     * @param ref its incarnation
     * @param address its address, or empty if it is not in the membership
     * @param dataCentre its data centre, or empty
     * @param version its software version, or empty
     * @param load estimated load in requests
     * @param loadAgeMillis age of the load; NaN if no recent load is known
     * @param ownRequests number of this router's requests there
     * @param slots number of requests that it runs concurrently, or 0 if unknown
     * @param tokens tokens that the requests of all routers hold there, of the explanation's age
     * @param memoryTokens tokens that its memory holds, or 0 if it is no engine or not known
     * @param failureRate share of its latest requests that failed, from 0 to 1
     * @param isUnreliable whether it failed lately, so that requests which may run once avoid it
     * @param isInSlowStart whether it takes few requests, as it has just started
     */
    public record Server(
            BackendRef ref,
            String address,
            String dataCentre,
            String version,
            double load,
            double loadAgeMillis,
            int ownRequests,
            int slots,
            double tokens,
            int memoryTokens,
            double failureRate,
            boolean isUnreliable,
            boolean isInSlowStart) {}

    /**
     * The backend server that would get the request.
     *
     * @param server the id of the backend server
     * @param reason why it was chosen, as in decision lines
     * @param bound the load above which a server is not chosen by its rank; NaN if no bound applies
     */
    public record Choice(String server, String reason, double bound) {}

    /**
     * Why the request would be refused.
     *
     * @param code the code of the error that the caller would get
     * @param message its message
     * @param maxRetryAfter the longest delay that the caller would be told; the delay itself is
     *     random
     */
    public record Refusal(ResultCode code, String message, Duration maxRetryAfter) {}
}
