package org.laurelweir.hedging;

import java.util.Optional;
import java.util.function.Supplier;

/** Says whether a request that has waited for its delay is hedged, and if not, why. */
public final class HedgeRule {
    /**
     * Share of a service's capacity in use above which nothing is hedged. A copy then waits like
     * the first call, and delays others.
     */
    private static final double MAX_USE = 0.8;

    private final HedgeBudget mBudget;

    /**
     * Creates a rule.
     *
     * @param budget the hedged requests that each service may get
     */
    public HedgeRule(HedgeBudget budget) {
        mBudget = budget;
    }

    /**
     * A request that has waited for its delay.
     *
     * @param service the service that runs it
     * @param attemptsLeft number of further backend servers that the route permits
     * @param isSuspect whether it, or a part of its prompt, may have ended a backend server
     * @param canMeetObjective whether a copy is likely to meet the objective
     */
    public record SlowRequest(
            String service, int attemptsLeft, boolean isSuspect, boolean canMeetObjective) {}

    /**
     * Returns why a request is not hedged, or empty if it should be.
     *
     * @param use supplies the use of the service's capacity; asked only if all else permits a hedge
     */
    public Optional<WithholdReason> check(SlowRequest r, Supplier<ServiceUse> use) {
        if (r.attemptsLeft() <= 0) {
            return Optional.of(WithholdReason.ATTEMPTS_USED);
        }
        if (r.isSuspect()) {
            return Optional.of(WithholdReason.SUSPECT);
        }
        if (!r.canMeetObjective()) {
            return Optional.of(WithholdReason.TOO_LATE);
        }
        if (!mBudget.permits(r.service())) {
            return Optional.of(WithholdReason.SHARE_USED);
        }
        return check(use.get());
    }

    private static Optional<WithholdReason> check(ServiceUse use) {
        if (!use.isKnown()) {
            return Optional.of(WithholdReason.LOAD_UNKNOWN);
        }
        return use.share() > MAX_USE ? Optional.of(WithholdReason.OVERLOADED) : Optional.empty();
    }
}
