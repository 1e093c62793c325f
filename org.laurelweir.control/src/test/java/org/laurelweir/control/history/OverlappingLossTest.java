package org.laurelweir.control.history;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.laurelweir.control.history.LossScenario.Loss;

/** Tests that the log survives losses that overlap, with instances that join by themselves. */
class OverlappingLossTest {
    private static final int LOSSES_MILLIS = 40_000;

    // Guards against an accepted change that is lost, and a log without a quorum for ever, although
    // no more instances than promised counted as lost at one time. In the end the log must bear as
    // many losses as in the beginning.
    @Property(tries = 60, seed = "5301")
    void logSurvivesOverlappingLosses(
            @ForAll @IntRange(min = 3, max = 7) int instances,
            @ForAll @Size(min = 1) Set<Loss> losses,
            @ForAll boolean withPowerCuts,
            @ForAll long seed) {
        LossScenario scenario =
                new LossScenario(instances, seed, losses.stream().sorted().toList(), withPowerCuts);
        String violation = scenario.play(LOSSES_MILLIS);
        assertThat(violation).as(() -> "\n" + scenario.trace()).isEmpty();
    }
}
