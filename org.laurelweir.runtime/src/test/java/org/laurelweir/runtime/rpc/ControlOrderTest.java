package org.laurelweir.runtime.rpc;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the order in which a program tries control instances. */
class ControlOrderTest {
    private static final List<String> GIVEN = List.of("10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7");
    private static final List<String> LEARNED = List.of("10.0.0.4:7", "10.0.0.2:7");
    private static final int ROUTERS = 300;

    @Test
    void givenOrderAppendsLearnedInstances() {
        assertThat(ControlOrder.GIVEN.order(GIVEN, LEARNED))
                .containsExactly("10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7", "10.0.0.4:7");
    }

    // Guards against a slow start of the whole fleet. If all routers list the same instances and
    // ask the first one, that instance sends the whole settings tree to each router just after its
    // own start, and the other instances are idle. After a kill of all processes, routers would
    // serve half a second later.
    @Test
    void spreadsRoutersOverControlInstances() {
        Map<String, Integer> first = new HashMap<>();
        for (int i = 0; i < ROUTERS; i++) {
            ControlOrder order = ControlOrder.spread("router-" + i, "10.1.0." + i);
            first.merge(order.order(GIVEN, LEARNED).get(0), 1, Integer::sum);
        }
        assertThat(first).hasSize(4);
        assertThat(first.values()).allMatch(n -> n > ROUTERS / 4 / 2);
    }

    @Test
    void asksTheControlInstanceOnTheSameHostFirst() {
        ControlOrder order = ControlOrder.spread("r", "10.0.0.4");
        assertThat(order.order(GIVEN, LEARNED).get(0)).isEqualTo("10.0.0.4:7");
        assertThat(order.order(GIVEN, List.of()))
                .hasSize(3)
                .isEqualTo(order.order(GIVEN, List.of()));
    }
}
