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
 * Operators send whole trees, each under a revision of its own, to any instance, while messages are
 * lost and instances crash. The log holds what each tree has other than the one before.
 */
class WholeTreeHistoryTest {
    private static final int INSTANCES = 3;
    private static final int ROUTES = 60;
    private static final int TREES = 60;

    private final Map<Long, Integer> mSent = new HashMap<>();
    private long mRevision;
    private long mAcknowledged;

    private static Map<String, Map<String, String>> tree(long revision, int changed) {
        Map<String, Map<String, String>> nodes = new TreeMap<>();
        nodes.put("/", Map.of());
        nodes.put("/service=s", Map.of("service.kind", "routed"));
        for (int i = 0; i < ROUTES; i++) {
            if (i != changed) {
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

    private static String source(long revision, int changed) {
        return "{\"version\":" + revision + ",\"routes\":" + tree(revision, changed) + "}";
    }

    private void send(SimulatedControls controls) {
        long revision = ++mRevision;
        int changed = controls.mRandom.nextInt(ROUTES);
        mSent.put(revision, changed);
        Command whole =
                new Command.ReplaceSettings(
                        Instant.EPOCH,
                        revision,
                        "operator",
                        tree(revision, changed),
                        source(revision, changed));
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

    // A tree that had been acknowledged was gone, another one was read back under its revision, or
    // an operator whose tree had been overtaken by another one was never answered.
    @Property(seed = "5", tries = 40, shrinking = ShrinkingMode.OFF)
    void whatWasAcknowledgedIsReadBackAsItWasSent(@ForAll long seed) {
        SimulatedControls controls = new SimulatedControls(INSTANCES, seed);
        controls.run(3_000);
        for (int i = 0; i < TREES; i++) {
            send(controls);
            controls.run(controls.mRandom.nextInt(4) == 0 ? 0 : controls.mRandom.nextInt(200));
            disturb(controls);
        }
        controls.heal();
        AtomicBoolean isTaken = new AtomicBoolean();
        controls.runUntil(
                () -> {
                    send(controls);
                    long last = mRevision;
                    controls.run(500);
                    isTaken.set(mAcknowledged == last);
                    return isTaken.get();
                });
        assertThat(isTaken).isTrue();
        controls.run(3_000);
        for (SimulatedControls.Node n : controls.mNodes) {
            assertHoldsWhatWasSent(controls, n);
        }
    }

    private static void disturb(SimulatedControls controls) {
        SimulatedControls.Node n = controls.mNodes.get(controls.mRandom.nextInt(INSTANCES));
        switch (controls.mRandom.nextInt(12)) {
            case 0 -> n.crash();
            case 1, 2, 3 -> {
                if (n.mReducer == null) {
                    n.start();
                }
            }
            case 4 -> n.mCutOff = true;
            case 5, 6, 7 -> n.mCutOff = false;
            default -> {}
        }
    }

    private void assertHoldsWhatWasSent(SimulatedControls controls, SimulatedControls.Node n) {
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
        int changed = mSent.get(revision);
        assertThat(source.get().source()).isEqualTo(source(revision, changed));
        Map<String, Map<String, String>> held = new TreeMap<>();
        nodes.get().forEach(node -> held.put(node.path().toString(), node.values()));
        assertThat(held).isEqualTo(tree(revision, changed));
    }

    // Each change of one value sent the whole tree to every replica, and a start read them all.
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

    // The second of two operators, whose tree differed from one that had just gone, got no answer.
    @Example
    void twoTreesAtTheSameMomentAreBothTaken() {
        SimulatedControls controls = new SimulatedControls(INSTANCES, 2);
        controls.heal();
        controls.run(3_000);
        for (int i = 0; i < 20; i++) {
            send(controls);
            send(controls);
            controls.run(1_000);
            assertThat(mAcknowledged).isEqualTo(mRevision);
        }
        controls.mNodes.forEach(n -> assertHoldsWhatWasSent(controls, n));
    }
}
