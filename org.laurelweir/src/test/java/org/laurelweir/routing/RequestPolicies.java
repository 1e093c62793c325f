package org.laurelweir.routing;

/** Request policies that differ from another one in a few values. */
final class RequestPolicies {
    private RequestPolicies() {}

    /** Returns a policy with other limits of a client account. */
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
