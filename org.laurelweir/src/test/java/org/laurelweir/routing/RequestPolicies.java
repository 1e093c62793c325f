package org.laurelweir.routing;

/** Creates variants of request policies. */
final class RequestPolicies {
    private RequestPolicies() {}

    /** Returns a copy of a policy with other limits for the client account. */
    static RequestPolicy withAccountLimits(RequestPolicy p, int maxRunning, double rate) {
        return new RequestPolicy(
                p.boundFactor(),
                p.maxAttempts(),
                p.retryBudgetShare(),
                p.backoffMin(),
                p.backoffMax(),
                p.accountWeight(),
                maxRunning,
                rate,
                p.claimRetention(),
                p.silenceTimeout());
    }
}
