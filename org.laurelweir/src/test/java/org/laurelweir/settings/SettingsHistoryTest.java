package org.laurelweir.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.laurelweir.coordination.Command.ChangeSettings;
import org.laurelweir.coordination.Command.NodeChange;
import org.laurelweir.lib.ResultCode;

/**
 * Histories of operators who race, resend and err, and of readers who hear late, twice or from a
 * control instance that lags.
 */
class SettingsHistoryTest {
    private static final SettingsStore.Limits SMALL =
            new SettingsStore.Limits(8, 1000, Duration.ofDays(1));
    private static final List<String> PATHS =
            List.of("/", "/region=a", "/service=s", "/service=s/account=x", "/account=x");

    /** One command: which nodes, how far behind their author is, and what it sets. */
    private record Op(List<Integer> nodes, int behind, int value, boolean delete, int resendOf) {}

    /** One message to a reader: asked at which past position, answered by how late a replica. */
    private record Message(int asked, int lag) {}

    @Provide
    Arbitrary<List<Op>> ops() {
        Arbitrary<List<Integer>> nodes =
                Arbitraries.integers()
                        .between(0, PATHS.size() - 1)
                        .list()
                        .ofMinSize(1)
                        .ofMaxSize(3);
        Arbitrary<Op> op =
                Combinators.combine(
                                nodes,
                                Arbitraries.of(0, 0, 0, 1, 2),
                                Arbitraries.integers().between(0, 11),
                                Arbitraries.of(false, false, true),
                                Arbitraries.of(0, 0, 0, 1, 3))
                        .as(Op::new);
        return op.list().ofMaxSize(40);
    }

    @Provide
    Arbitrary<List<Message>> messages() {
        Arbitrary<Integer> few = Arbitraries.integers().between(0, 6);
        return Combinators.combine(few, few).as(Message::new).list().ofMaxSize(60);
    }

    /** Turns an op into a command; its author saw the tree as it was some changes ago. */
    private static ChangeSettings command(Op op, int index, List<SettingsTree> seen) {
        SettingsTree tree = seen.get(Math.max(0, seen.size() - 1 - op.behind()));
        List<NodeChange> changes = new ArrayList<>();
        for (int n : op.nodes()) {
            long version =
                    tree.node(NodePath.parse(PATHS.get(n))).map(SettingsNode::version).orElse(0L);
            Map<String, String> set =
                    op.delete() ? Map.of() : Map.of("retry.max-attempts", "" + op.value());
            changes.add(new NodeChange(PATHS.get(n), version, set, List.of(), op.delete()));
        }
        Instant at = Instant.EPOCH.plusSeconds(index);
        return new ChangeSettings(at, "c" + index, "tester", changes);
    }

    /** Runs the ops; gives the tree after each, the empty one first. */
    private static List<SettingsTree> run(SettingsStore store, List<Op> ops) {
        List<SettingsTree> trees = new ArrayList<>(List.of(store.tree()));
        for (int i = 0; i < ops.size(); i++) {
            store.apply(i + 1, command(ops.get(i), i, trees));
            trees.add(store.tree());
        }
        return trees;
    }

    @Property(seed = "311", tries = 300)
    void changesAreTakenWholeOrNotAtAllAndResendsGetTheFirstAnswer(@ForAll("ops") List<Op> ops) {
        SettingsStore store = new SettingsStore(SettingsState.EMPTY, SMALL);
        Map<String, Long> model = new HashMap<>();
        List<ChangeSettings> sent = new ArrayList<>();
        List<SettingsAnswer> answers = new ArrayList<>();
        List<SettingsTree> trees = new ArrayList<>(List.of(store.tree()));
        for (int i = 0; i < ops.size(); i++) {
            int resend = ops.get(i).resendOf();
            SettingsTree before = store.tree();
            if (resend > 0 && resend <= sent.size()) {
                int earlier = sent.size() - resend;
                assertThat(store.apply(i + 1, sent.get(earlier))).isEqualTo(answers.get(earlier));
                assertThat(store.tree()).isSameAs(before);
                continue;
            }
            ChangeSettings c = command(ops.get(i), i, trees);
            SettingsAnswer answer = store.apply(i + 1, c);
            checkAgainstModel(model, c, answer, i + 1, before, store.tree());
            sent.add(c);
            answers.add(answer);
            trees.add(store.tree());
        }
    }

    private static void checkAgainstModel(
            Map<String, Long> model,
            ChangeSettings c,
            SettingsAnswer answer,
            long position,
            SettingsTree before,
            SettingsTree after) {
        boolean raced =
                c.changes().stream()
                        .anyMatch(n -> model.getOrDefault(n.path(), 0L) != n.expectedVersion());
        assertThat(answer.code() == ResultCode.SETTINGS_CONFLICT).isEqualTo(raced);
        if (answer.code() != ResultCode.OK) {
            assertThat(after).isSameAs(before);
            return;
        }
        for (NodeChange n : c.changes()) {
            if (n.delete()) {
                model.remove(n.path());
            } else {
                model.put(n.path(), position);
            }
        }
        Map<String, Long> versions = new HashMap<>();
        after.nodes().forEach(n -> versions.put(n.path().toString(), n.version()));
        assertThat(versions).isEqualTo(model);
    }

    @Property(seed = "312", tries = 300)
    void aReplicaRestoredFromASnapshotGoesOnAlike(
            @ForAll("ops") List<Op> first, @ForAll("ops") List<Op> rest) {
        SettingsStore store = new SettingsStore(SettingsState.EMPTY, SMALL);
        List<SettingsTree> trees = run(store, first);
        SettingsStore restored = new SettingsStore(store.state(), SMALL);
        for (int i = 0; i < rest.size(); i++) {
            int index = first.size() + i;
            ChangeSettings c = command(rest.get(i), index, trees);
            assertThat(restored.apply(index + 1, c)).isEqualTo(store.apply(index + 1, c));
            trees.add(store.tree());
        }
        assertThat(restored.state()).isEqualTo(store.state());
        for (long p = 0; p <= trees.size(); p++) {
            assertThat(restored.deltaSince(p)).isEqualTo(store.deltaSince(p));
        }
    }

    @Property(seed = "313", tries = 300)
    void earlierTreesAreWorkedOutWhileTheirChangesAreKept(@ForAll("ops") List<Op> ops) {
        SettingsStore store = new SettingsStore(SettingsState.EMPTY, SMALL);
        List<SettingsTree> trees = run(store, ops);
        for (int p = 0; p < trees.size(); p++) {
            Optional<SettingsTree> earlier = store.treeAt(p);
            if (p >= store.state().lastEvictedPosition()) {
                assertThat(earlier.orElseThrow().nodes()).isEqualTo(trees.get(p).nodes());
            } else {
                assertThat(earlier).isEmpty();
            }
        }
    }

    @Property(seed = "314", tries = 300)
    void aReaderNeverGoesBackAndAlwaysHoldsAWholeTree(
            @ForAll("ops") List<Op> ops, @ForAll("messages") List<Message> messages) {
        // A reader asks several control instances, some of which lag; answers come late and out of
        // order, and each brings the nodes changed since the position of its question. Were an old
        // answer taken in, an accepted change would be in force, then not, then in force again.
        SettingsStore store = new SettingsStore(SettingsState.EMPTY, SMALL);
        List<SettingsTree> trees = run(store, ops);
        SettingsReader reader = new SettingsReader();
        List<Long> positions = new ArrayList<>(List.of(0L));
        for (Message m : messages) {
            long asked = positions.get(Math.max(0, positions.size() - 1 - m.asked()));
            long before = reader.position();
            int at = Math.max(0, trees.size() - 1 - m.lag());
            reader.apply(replicaAt(at, ops).deltaSince(asked));
            assertThat(reader.position()).isGreaterThanOrEqualTo(before);
            assertThat(reader.tree().nodes()).isEqualTo(trees.get((int) reader.position()).nodes());
            positions.add(reader.position());
        }
        reader.apply(store.deltaSince(reader.position()));
        assertThat(reader.tree().nodes()).isEqualTo(store.tree().nodes());
    }

    private static SettingsStore replicaAt(int position, List<Op> ops) {
        SettingsStore replica = new SettingsStore(SettingsState.EMPTY, SMALL);
        run(replica, ops.subList(0, position));
        return replica;
    }
}
