package org.laurelweir.control.history;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.laurelweir.coordination.Command;
import org.laurelweir.coordination.ControlEffect.AnswerCommand;
import org.laurelweir.coordination.ControlEffect.AnswerSettings;
import org.laurelweir.coordination.ControlEffect.AnswerSource;
import org.laurelweir.coordination.ControlEvent;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.settings.SettingsNode;

/**
 * Tests operators that send whole trees, each with its own revision, to any instance, while
 * messages are lost and instances crash. The log stores the difference of each tree to the one
 * before.
 */
class WholeTreeHistoryTest {
    private static final int INSTANCES = 3;
    private static final int ROUTES = 60;
    private static final int TREES = 60;

    /** The number of the route that each sent tree omits, by revision. */
    private final Map<Long, Integer> mOmittedRoutes = new HashMap<>();

    private long mRevision;
    private long mAcknowledged;

    private static Map<String, Map<String, String>> tree(long revision, int omittedRoute) {
        Map<String, Map<String, String>> nodes = new TreeMap<>();
        nodes.put("/", Map.of());
        nodes.put("/service=s", Map.of("service.kind", "routed"));
        for (int i = 0; i < ROUTES; i++) {
            if (i != omittedRoute) {
                Map<String, String> route = new HashMap<>();
                route.put("route.host", "h");
                route.put("route.path-prefix", "/" + i + "/");
                route.put("route.shares", "s:1");
                route.put("route.timeout", (i == 0 ? revision : 7) + "s");
                nodes.put("/route=r" + i, route);
            }
        }
        return nodes;
    }

    private static String source(long revision, int omittedRoute) {
        return "{\"version\":" + revision + ",\"routes\":" + tree(revision, omittedRoute) + "}";
    }

    private void send(SimulatedControls controls) {
        long revision = ++mRevision;
        int omittedRoute = controls.mRandom.nextInt(ROUTES);
        mOmittedRoutes.put(revision, omittedRoute);
        Command whole =
                new Command.ReplaceSettings(
                        Instant.EPOCH,
                        revision,
                        "operator",
                        tree(revision, omittedRoute),
                        source(revision, omittedRoute));
        for (SimulatedControls.Node n : controls.mNodes) {
            n.call(
                    call -> new ControlEvent.CommandReceived(call, whole),
                    answer -> {
                        if (answer instanceof AnswerCommand a) {
                            assertThat(a.result().code()).isEqualTo(ResultCode.OK);
                            mAcknowledged = Math.max(mAcknowledged, revision);
                        }
                    });
        }
    }

    // Guards against an acknowledged tree that is lost, another tree that is read under its
    // revision, and an operator who gets no answer because another tree was applied in between.
    @Property(seed = "5", tries = 40, shrinking = ShrinkingMode.OFF)
    void acknowledgedTreeIsReadBackUnchanged(@ForAll long seed) {
        SimulatedControls controls = new SimulatedControls(INSTANCES, seed);
        controls.run(3_000);
        for (int i = 0; i < TREES; i++) {
            send(controls);
            controls.run(controls.mRandom.nextInt(4) == 0 ? 0 : controls.mRandom.nextInt(200));
            injectFault(controls);
        }
        controls.heal();
        AtomicBoolean isAccepted = new AtomicBoolean();
        controls.runUntil(
                () -> {
                    send(controls);
                    long last = mRevision;
                    controls.run(500);
                    isAccepted.set(mAcknowledged == last);
                    return isAccepted.get();
                });
        assertThat(isAccepted).isTrue();
        controls.run(3_000);
        for (SimulatedControls.Node n : controls.mNodes) {
            assertHoldsLastAcknowledgedTree(controls, n);
        }
    }

    private static void injectFault(SimulatedControls controls) {
        SimulatedControls.Node n = controls.mNodes.get(controls.mRandom.nextInt(INSTANCES));
        switch (controls.mRandom.nextInt(12)) {
            case 0 -> n.crash();
            case 1, 2, 3 -> {
                if (n.mReducer == null) {
                    n.start();
                }
            }
            case 4 -> n.mPartitioned = true;
            case 5, 6, 7 -> n.mPartitioned = false;
            default -> {}
        }
    }

    private void assertHoldsLastAcknowledgedTree(
            SimulatedControls controls, SimulatedControls.Node n) {
        AtomicReference<AnswerSource> source = new AtomicReference<>();
        AtomicReference<List<SettingsNode>> nodes = new AtomicReference<>();
        controls.mNodes.forEach(
                asked ->
                        asked.call(
                                ControlEvent.SourceRequested::new,
                                a -> {
                                    if (a instanceof AnswerSource s) {
                                        source.set(s);
                                    }
                                }));
        n.call(
                call -> new ControlEvent.SettingsRequested(call, null, false, 0),
                a -> nodes.set(((AnswerSettings) a).nodes()));
        controls.run(1_000);
        long revision = source.get().revision();
        assertThat(revision).isEqualTo(mAcknowledged);
        int omittedRoute = mOmittedRoutes.get(revision);
        assertThat(source.get().source()).isEqualTo(source(revision, omittedRoute));
        Map<String, Map<String, String>> held = new TreeMap<>();
        nodes.get().forEach(node -> held.put(node.path().toString(), node.values()));
        assertThat(held).isEqualTo(tree(revision, omittedRoute));
    }

    // Guards against a change of one value that sends the whole tree to every replica, all of which
    // a start would read.
    @Example
    void aChangeOfOneValueIsASmallEntry() {
        SimulatedControls controls = new SimulatedControls(INSTANCES, 1);
        controls.heal();
        controls.run(3_000);
        send(controls);
        controls.run(1_000);
        long whole = controls.loggedBytes();
        for (int i = 0; i < 10; i++) {
            send(controls);
            controls.run(1_000);
        }
        assertThat(mAcknowledged).isEqualTo(mRevision);
        assertThat(controls.loggedBytes() - whole).isLessThan(whole);
    }

    // Guards against a second operator who gets no answer because another tree, from which this one
    // differs, was sent just before.
    @Example
    void twoConcurrentTreesAreBothAccepted() {
        SimulatedControls controls = new SimulatedControls(INSTANCES, 2);
        controls.heal();
        controls.run(3_000);
        for (int i = 0; i < 20; i++) {
            send(controls);
            send(controls);
            controls.run(1_000);
            assertThat(mAcknowledged).isEqualTo(mRevision);
        }
        controls.mNodes.forEach(n -> assertHoldsLastAcknowledgedTree(controls, n));
    }
}
