package org.laurelweir.benchmarks.hedging;

import java.util.List;

/**
 * The demand for the modelled service and the speed of its servers.
 *
 * @param load requests that arrive, as a share of what four equal servers can run
 * @param slowFactor how long the first server takes for its work, relative to the others
 * @param surgeLoad the load in the last quarter of every twelve seconds
 */
record Scenario(String name, double load, double slowFactor, double surgeLoad) {
    static final List<Scenario> ALL =
            List.of(
                    new Scenario("calm", 0.4, 1, 0.4),
                    new Scenario("one slow server of four", 0.4, 2.5, 0.4),
                    new Scenario("0.9 of capacity", 0.9, 1, 0.9),
                    new Scenario("overload", 0.6, 1, 1.4));
}
