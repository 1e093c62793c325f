package org.laurelweir.hedging;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests which slow requests are hedged. */
class HedgeRuleTest {
    private static final ServiceUse LOW = new ServiceUse(1, 6, Double.NaN, 0);
    private static final HedgeRule.SlowRequest SLOW =
            new HedgeRule.SlowRequest("s", 1, false, true);

    private final HedgeBudget mBudget = new HedgeBudget(0.5);
    private final HedgeRule mRule = new HedgeRule(mBudget);

    private Optional<WithholdReason> check(ServiceUse use) {
        mBudget.onRequest("s");
        mBudget.onRequest("s");
        return mRule.check(SLOW, () -> use);
    }

    // Guards against copies that delay others while a service has little capacity left.
    @Test
    void aboveFourFifthsOfTheCapacityNothingIsHedged() {
        assertThat(check(new ServiceUse(4.8, 6, Double.NaN, 0))).isEmpty();
        assertThat(check(new ServiceUse(4.9, 6, Double.NaN, 0)))
                .contains(WithholdReason.OVERLOADED);
        assertThat(check(new ServiceUse(10, 128, 900, 1000))).contains(WithholdReason.OVERLOADED);
        assertThat(check(new ServiceUse(10, 128, 700, 1000))).isEmpty();
    }

    // Guards against taking a missing figure for an idle service.
    @Test
    void withoutAFigureNothingIsHedged() {
        assertThat(check(new ServiceUse(Double.NaN, 6, Double.NaN, 0)))
                .contains(WithholdReason.LOAD_UNKNOWN);
        assertThat(check(new ServiceUse(1, 0, Double.NaN, 0)))
                .contains(WithholdReason.LOAD_UNKNOWN);
        assertThat(check(new ServiceUse(1, 6, Double.NaN, 1000)))
                .contains(WithholdReason.LOAD_UNKNOWN);
    }

    // Guards against more hedged requests than the share, also of a service with few requests.
    @Test
    void hedgedRequestsKeepWithinTheShareOfTheRequests() {
        HedgeBudget budget = new HedgeBudget(0.05);
        SplittableRandom random = new SplittableRandom(7);
        int hedged = 0;
        for (int requests = 1; requests <= 10_000; requests++) {
            budget.onRequest("s");
            if (random.nextInt(10) == 0 && budget.permits("s")) {
                budget.onHedged("s");
                hedged++;
            }
            assertThat(hedged).isLessThanOrEqualTo((int) (0.05 * requests + 1e-6));
        }
        assertThat(hedged).isGreaterThan(400);
        assertThat(budget.permits("other")).isFalse();
    }

    // Guards against a burst of copies after a quiet time.
    @Test
    void atMostThreeHedgedRequestsAreSavedUp() {
        HedgeBudget budget = new HedgeBudget(0.5);
        for (int i = 0; i < 1000; i++) {
            budget.onRequest("s");
        }
        for (int i = 0; i < 3; i++) {
            assertThat(budget.permits("s")).isTrue();
            budget.onHedged("s");
        }
        assertThat(budget.permits("s")).isFalse();
    }
}
