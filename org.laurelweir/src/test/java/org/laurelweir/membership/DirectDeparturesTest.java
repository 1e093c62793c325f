package org.laurelweir.membership;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** What becomes of the word of a backend server without a sidecar that it leaves. */
class DirectDeparturesTest {
    private static final int STEPS = 150;

    // A server's word that it leaves was acknowledged and dropped, so that routers went on using
    // it.
    @Property(tries = 300, seed = "1411")
    void anAcknowledgedDepartureHoldsEverywhere(@ForAll long seed) {
        run(new DirectFleet(seed, false));
    }

    @Property(tries = 300, seed = "1412")
    void anAcknowledgedDepartureHoldsEverywhereWhereStartsAreTold(@ForAll long seed) {
        run(new DirectFleet(seed, true));
    }

    private static void run(DirectFleet fleet) {
        for (int step = 1; step <= STEPS; step++) {
            fleet.act(step);
        }
        fleet.settle();
        fleet.assertWhoLeftServesNowhere();
    }
}
