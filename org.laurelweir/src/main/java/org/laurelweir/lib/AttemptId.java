package org.laurelweir.lib;

/**
 * Identifies one attempt to run a request. Every frame of the answer carries the id, so that a
 * receiver drops late frames and frames of other attempts.
 *
 * @param router the router's name
 * @param routerIncarnation rises with every start of the router
 * @param request the router's sequence number of the request
 * @param attempt number of the attempt at this request, from 1
 */
public record AttemptId(String router, long routerIncarnation, long request, int attempt) {
    /** Returns the id of the next attempt at the same request. */
    public AttemptId next() {
        return new AttemptId(router, routerIncarnation, request, attempt + 1);
    }

    /**
     * Returns the request's name in logs and answers. It is the same for all attempts at the
     * request.
     */
    public String requestName() {
        return router + "-" + Long.toHexString(routerIncarnation) + "-" + request;
    }

    @Override
    public String toString() {
        return requestName() + "." + attempt;
    }
}
