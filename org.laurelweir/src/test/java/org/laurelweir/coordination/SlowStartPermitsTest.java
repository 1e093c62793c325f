package org.laurelweir.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.DrainedDataCentres;
import org.laurelweir.membership.SlowStartPermit;

/** Tests which routers control lets send requests to a backend server in slow start. */
class SlowStartPermitsTest {
    private static final Instant NOW = Instant.EPOCH;
    private static final double RATE = 11;
    private static final List<String> ROUTERS = routers(31);

    private final SlowStartPermits mPermits = newPermits();

    private static List<String> routers(int count) {
        return IntStream.range(0, count).mapToObj(i -> "router-" + i).toList();
    }

    private static Backend server(String id, boolean slowStart) {
        BackendRef ref = new BackendRef(id, 0);
        return new Backend(ref, "s", "dc", "", "1.2.3.4:80", Backend.State.SERVING, 6, 1)
                .withSlowStart(slowStart);
    }

    private static Set<String> holders(
            SlowStartPermits permits, Instant now, Backend server, List<String> routers) {
        Set<String> holders = new TreeSet<>();
        for (String r : routers) {
            if (!permits.permitsOf(now, r, () -> List.of(server), routers, true).isEmpty()) {
                holders.add(r);
            }
        }
        return holders;
    }

    @Test
    void sharesOfTheFewRoutersAddUpToTheRate() {
        Backend server = server("w", true);
        List<SlowStartPermit> all = new ArrayList<>();
        ROUTERS.forEach(
                r -> all.addAll(mPermits.permitsOf(NOW, r, () -> List.of(server), ROUTERS, true)));
        assertThat(all).hasSize(5);
        double rate = all.stream().mapToDouble(SlowStartPermit::requestsPerSecond).sum();
        assertThat(rate).isEqualTo(RATE);
    }

    // Guards against more requests than a server in slow start bears, when control instances know
    // other routers: each router obeys one of them.
    @Test
    void instancesThatKnowOtherRoutersChooseNearlyTheSame() {
        for (int i = 0; i < 50; i++) {
            Backend server = server("w" + i, true);
            Set<String> holders = holders(newPermits(), NOW, server, ROUTERS);
            holders.addAll(holders(newPermits(), NOW, server, ROUTERS.subList(0, 29)));
            assertThat(holders).hasSizeLessThanOrEqualTo(7);
        }
    }

    private static SlowStartPermits newPermits() {
        SlowStartPermits permits = new SlowStartPermits(s -> RATE);
        Instant start = NOW.minus(SlowStartPermits.SETTLING_TIME);
        permits.permitsOf(start, "r", List::of, List.of(), true);
        return permits;
    }

    // Guards against too many requests after all control instances have started anew, when each of
    // them knows a few routers only and would share the whole rate among these.
    @Test
    void instanceThatHasJustStartedGivesNoPermits() {
        SlowStartPermits permits = new SlowStartPermits(s -> RATE);
        Backend server = server("w", true);
        assertThat(holders(permits, NOW, server, ROUTERS)).isEmpty();
        Instant settled = NOW.plus(SlowStartPermits.SETTLING_TIME);
        assertThat(holders(permits, settled.minusMillis(1), server, ROUTERS)).isEmpty();
        assertThat(holders(permits, settled, server, ROUTERS)).hasSize(5);
    }

    // Guards against two sides of a cut that each share the whole rate among their own routers.
    @Test
    void instanceWithoutAMajorityGivesNoPermits() {
        Backend server = server("w", true);
        for (String r : ROUTERS) {
            assertThat(mPermits.permitsOf(NOW, r, () -> List.of(server), ROUTERS, false)).isEmpty();
        }
    }

    @Test
    void singleRouterMaySendTheWholeRate() {
        assertThat(
                        mPermits.permitsOf(
                                NOW, "r", () -> List.of(server("w", true)), List.of("r"), true))
                .containsExactly(new SlowStartPermit(new BackendRef("w", 0), RATE));
    }

    @Test
    void warmServerNeedsNoPermit() {
        assertThat(holders(mPermits, NOW, server("w", false), ROUTERS)).isEmpty();
    }

    // Guards against a data centre that stays without requests after it is undrained, because
    // routers take its servers to be in slow start and have no permits.
    @Test
    void serversOfAnUndrainedDataCentreHavePermitsForAWhile() {
        Backend server = server("w", false);
        mPermits.onDrained(NOW, new DrainedDataCentres(1, List.of("dc")));
        assertThat(holders(mPermits, NOW, server, ROUTERS)).isEmpty();
        mPermits.onDrained(NOW, new DrainedDataCentres(2, List.of()));
        Instant soon = NOW.plus(SlowStartPermits.INTERVAL);
        assertThat(holders(mPermits, soon, server, ROUTERS)).hasSize(5);
        Instant later = NOW.plus(SlowStartPermits.UNDRAINED_TIME);
        assertThat(holders(mPermits, later, server, ROUTERS)).isEmpty();
    }
}
