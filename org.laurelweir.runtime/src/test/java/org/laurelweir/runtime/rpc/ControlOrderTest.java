package org.laurelweir.runtime.rpc;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Which control instance a program asks first. */
class ControlOrderTest {
    private static final List<String> GIVEN = List.of("10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7");
    private static final List<String> LEARNED = List.of("10.0.0.4:7", "10.0.0.2:7");
    private static final int ROUTERS = 300;

    @Test
    void givenOrderKeepsTheListAndPutsLearnedInstancesBehind() {
        assertThat(ControlOrder.GIVEN.order(GIVEN, LEARNED))
                .containsExactly("10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7", "10.0.0.4:7");
    }

    // Callers see: after a kill of everything it takes half a second longer until a router serves.
    // Order: all routers list the same instances and ask the first one, which has to send the whole
    // settings to each of them while it is still cold. Why: nobody asks the other instances.
    @Test
    void routersThatListTheSameInstancesSpreadOverThem() {
        Map<String, Integer> first = new HashMap<>();
        for (int i = 0; i < ROUTERS; i++) {
            ControlOrder order = ControlOrder.spread("router-" + i, "10.1.0." + i);
            first.merge(order.order(GIVEN, LEARNED).get(0), 1, Integer::sum);
        }
        assertThat(first).hasSize(4);
        assertThat(first.values()).allMatch(n -> n > ROUTERS / 4 / 2);
    }

    @Test
    void anInstanceOnTheSameMachineIsAskedFirst() {
        ControlOrder order = ControlOrder.spread("r", "10.0.0.4");
        assertThat(order.order(GIVEN, LEARNED).get(0)).isEqualTo("10.0.0.4:7");
        assertThat(order.order(GIVEN, List.of()))
                .hasSize(3)
                .isEqualTo(order.order(GIVEN, List.of()));
    }
}
