package org.laurelweir.control.history;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.laurelweir.control.history.SimulatedControls.Node;
import org.laurelweir.coordination.Command;
import org.laurelweir.coordination.ControlEffect.AnswerExchange;
import org.laurelweir.coordination.ControlEvent;
import org.laurelweir.load.LoadReport;
import org.laurelweir.membership.DrainedDataCentres;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.RouterReport;
import org.laurelweir.quarantine.CrashReport;

/**
 * Tests that orders to drain data centres are linearizable and durable while instances crash and
 * are partitioned, and while settings change.
 */
class DataCentreDrainHistoryTest {
    private static final List<String> DATA_CENTRES = List.of("bergen", "askoy", "stord");
    private static final int ORDERS = 12;
    private static final int OBSERVE_MILLIS = 40;

    private final Map<String, Boolean> mAcknowledged = new HashMap<>();
    private final Map<Long, DrainedDataCentres> mByPosition = new HashMap<>();
    private int mOrders;
    private int mChanges;

    // An operator for each data centre drains and undrains it in turn, resends orders whose answer
    // was lost, and goes on after each acknowledgement, while another operator changes settings.
    // In the end, after all instances lost power, each instance must have the last acknowledged
    // order of each data centre. At every moment instances that name the same position must name
    // the same data centres.
    @Property(tries = 40, seed = "1701")
    void acknowledgedOrdersAreKept(@ForAll long seed) {
        mAcknowledged.clear();
        mByPosition.clear();
        mOrders = 0;
        mChanges = 0;
        SimulatedControls controls = new SimulatedControls(3, seed);
        RecordedCalls calls = new RecordedCalls(controls);
        DATA_CENTRES.forEach(d -> orderNext(controls, calls, d, true, ORDERS));
        changeSettings(controls, calls, ORDERS);
        SettingsHistoryTest.injectFaults(controls, 12);
        observe(controls);
        controls.run(12_000);
        controls.heal();
        controls.runUntil(() -> isDone());
        assertThat(isDone()).isTrue();
        controls.mNodes.forEach(Node::crash);
        controls.heal();
        controls.run(5_000);
        for (Node n : controls.mNodes) {
            exchange(controls, n);
        }
        controls.run(100);
        TreeSet<String> expected = new TreeSet<>();
        mAcknowledged.forEach((name, drained) -> addIf(drained, name, expected));
        long last = mByPosition.keySet().stream().max(Long::compare).orElseThrow();
        assertThat(mByPosition.get(last).names()).isEqualTo(expected);
    }

    private static void addIf(boolean condition, String name, TreeSet<String> names) {
        if (condition) {
            names.add(name);
        }
    }

    private boolean isDone() {
        return mOrders == DATA_CENTRES.size() * ORDERS && mChanges == ORDERS;
    }

    private void orderNext(
            SimulatedControls controls,
            RecordedCalls calls,
            String name,
            boolean drain,
            int remaining) {
        if (remaining == 0) {
            return;
        }
        calls.execute(
                new Command.DrainDataCentre(Instant.EPOCH, name, drain, "operator"),
                (c, result) -> {
                    mOrders++;
                    mAcknowledged.put(name, drain);
                    controls.after(
                            controls.mRandom.nextInt(400),
                            () -> orderNext(controls, calls, name, !drain, remaining - 1));
                });
    }

    private void changeSettings(SimulatedControls controls, RecordedCalls calls, int remaining) {
        if (remaining == 0) {
            return;
        }
        Map<String, Map<String, String>> nodes = Map.of("/service=a" + remaining, Map.of());
        calls.execute(
                new Command.ReplaceSettings(
                        Instant.EPOCH, ORDERS - remaining + 1, "operator", nodes, "text"),
                (c, result) -> {
                    mChanges++;
                    controls.after(
                            controls.mRandom.nextInt(400),
                            () -> changeSettings(controls, calls, remaining - 1));
                });
    }

    private void observe(SimulatedControls controls) {
        exchange(controls, controls.mNodes.get(controls.mRandom.nextInt(controls.mNodes.size())));
        controls.after(OBSERVE_MILLIS, () -> observe(controls));
    }

    private void exchange(SimulatedControls controls, Node node) {
        RouterReport report = new RouterReport("r1", 1, "bergen", "vestkyst", "", "");
        node.call(
                call ->
                        new ControlEvent.RouterExchanged(
                                call,
                                report,
                                MembershipCursor.NONE,
                                0,
                                CrashReport.NONE,
                                LoadReport.NONE),
                answer -> record(((AnswerExchange) answer).rules().drained()));
    }

    private void record(DrainedDataCentres drained) {
        DrainedDataCentres same = mByPosition.putIfAbsent(drained.position(), drained);
        assertThat(same == null ? drained : same).isEqualTo(drained);
    }
}
