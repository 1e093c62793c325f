package org.laurelweir.lib;

/**
 * Names one try at running one request. Every frame of its answer carries it, so a late or crossed
 * frame is recognised and dropped.
 *
 * @param router the router's name
 * @param routerIncarnation rises with every start of the router
 * @param request the router's count of requests
 * @param attempt counts the tries at the same request, from 1
 */
public record AttemptId(String router, long routerIncarnation, long request, int attempt) {
    /** Returns the id of the next try at the same request. */
    public AttemptId next() {
        return new AttemptId(router, routerIncarnation, request, attempt + 1);
    }

    /** Returns the request's name as logs and answers show it, the same for all of its tries. */
    public String requestName() {
        return router + "-" + Long.toHexString(routerIncarnation) + "-" + request;
    }

    @Override
    public String toString() {
        return requestName() + "." + attempt;
    }
}
