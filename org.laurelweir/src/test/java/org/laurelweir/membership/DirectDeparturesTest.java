package org.laurelweir.membership;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Departures of backend servers without sidecars, over random steps of a simulated fleet. */
class DirectDeparturesTest {
    private static final int STEPS = 150;

    // Guards against an instance that acknowledges a departure and drops it, so that routers
    // continue to send requests to the server.
    @Property(tries = 300, seed = "1411")
    void acknowledgedDepartureIsAppliedOnAllInstances(@ForAll long seed) {
        run(new DirectFleet(seed, false));
    }

    @Property(tries = 300, seed = "1412")
    void acknowledgedDepartureWithStartTimesIsAppliedOnAllInstances(@ForAll long seed) {
        run(new DirectFleet(seed, true));
    }

    private static void run(DirectFleet fleet) {
        for (int step = 1; step <= STEPS; step++) {
            fleet.performRandomStep(step);
        }
        fleet.settle();
        fleet.assertAcknowledgedDeparturesAreApplied();
    }
}
