package org.laurelweir.benchmarks.measure;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.laurelweir.benchmarks.measure.Deployment.Surge;
import org.laurelweir.benchmarks.measure.workload.SurgeTrace;
import org.laurelweir.benchmarks.measure.workload.Trace;
import org.laurelweir.benchmarks.measure.workload.TraceGenerator;
import org.laurelweir.benchmarks.measure.workload.Turn;

/** Runs in which one client account surges. */
class FairSharesTest {
    private static final long SEED = 5;
    private static final int ACCOUNT = 3;

    @Test
    void sameSeedGivesTheSameTable() {
        String one = new FairShares(List.of("fjordvik"), SEED).table();
        assertThat(new FairShares(List.of("fjordvik"), SEED).table()).isEqualTo(one);
    }

    @Test
    void surgeAddsOnlyRequestsOfItsAccount() {
        Deployment d = FairShares.withoutSurges(Deployment.read("fjordvik"));
        Trace usual = TraceGenerator.generate(d, SEED);
        int firstAdded = usual.turns().size() + usual.precedingTurns().size();
        Surge surge = new Surge(ACCOUNT, 10, 3, 10, 0);
        List<Turn> surged = SurgeTrace.add(usual, d, surge, SEED).turns();
        List<Turn> others = surged.stream().filter(t -> t.chat().id() < firstAdded).toList();
        assertThat(others).isEqualTo(usual.turns());
        List<Turn> added = surged.stream().filter(t -> t.chat().id() >= firstAdded).toList();
        assertThat(added)
                .allSatisfy(
                        t -> {
                            assertThat(t.chat().account()).isEqualTo(ACCOUNT);
                            assertThat(t.at()).isBetween(600_000_000L, 780_000_000L);
                        });
        double expected =
                9 * SurgeTrace.accountShare(d.accounts(), ACCOUNT) * d.requestsPerSecond() * 180;
        assertThat(added.size() / expected).isBetween(0.9, 1.1);
    }
}
