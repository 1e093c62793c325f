package org.laurelweir.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Tests the load bound and its rules for small loads. */
class LoadBoundTest {
    private static final double FLOOR = 100;

    @Property(tries = 200, seed = "21")
    void admissionNeverExceedsTheBound(
            @ForAll @IntRange(min = 1, max = 12) int servers,
            @ForAll @DoubleRange(min = 1, max = 3) double factor,
            @ForAll long seed) {
        Random random = new Random(seed);
        List<List<Double>> workByServer = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            workByServer.add(new ArrayList<>());
        }
        for (int step = 0; step < 300; step++) {
            List<Double> serverWork = workByServer.get(random.nextInt(servers));
            if (!serverWork.isEmpty() && random.nextInt(3) == 0) {
                serverWork.remove(random.nextInt(serverWork.size()));
                continue;
            }
            double added = Math.exp(2 + 2 * random.nextGaussian());
            double mean = workByServer.stream().mapToDouble(LoadBoundTest::sum).sum() / servers;
            if (LoadBound.admits(sum(serverWork), added, mean, factor, FLOOR)) {
                serverWork.add(added);
                double bound = Math.max(factor * mean, FLOOR);
                assertThat(serverWork.size() == 1 || sum(serverWork) <= bound * (1 + 1e-9))
                        .isTrue();
            }
        }
    }

    @Test
    void idleServerAdmitsAnyRequest() {
        assertThat(LoadBound.admits(0, 1e9, 0, 1.25, FLOOR)).isTrue();
        assertThat(LoadBound.admits(1, 1e9, 0, 1.25, FLOOR)).isFalse();
    }

    @Test
    void floorAppliesWhileTheMeanIsSmall() {
        assertThat(LoadBound.admits(60, 40, 1, 1.25, FLOOR)).isTrue();
        assertThat(LoadBound.admits(60, 41, 1, 1.25, FLOOR)).isFalse();
    }

    @Test
    void cachedTokensCostNothing() {
        WorkEstimate work = new WorkEstimate(1000, 0, 50);
        assertThat(work.units(0.1)).isEqualTo(150);
        assertThat(work.withCached(900).units(0.1)).isEqualTo(60);
        assertThat(work.withCached(5000).units(0.1)).isEqualTo(50);
    }

    private static double sum(List<Double> work) {
        return work.stream().mapToDouble(Double::doubleValue).sum();
    }
}
