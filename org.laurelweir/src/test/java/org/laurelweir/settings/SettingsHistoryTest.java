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
 * Random histories of operators whose changes conflict, are sent again or are invalid, and of
 * readers that receive answers late, twice or from a control instance that lags behind.
 */
class SettingsHistoryTest {
    private static final SettingsStore.Limits SMALL_LIMITS =
            new SettingsStore.Limits(8, 1000, Duration.ofDays(1));
    private static final List<String> PATHS =
            List.of("/", "/region=a", "/service=s", "/service=s/account=x", "/account=x");

    /**
     * A command.
     *
     * @param nodes the indexes of the changed nodes in {@code PATHS}
     * @param changesBehind how many changes ago its author read the tree
     * @param value the value to set
     * @param delete whether the nodes are deleted
     * @param resendOf how many commands ago the command was sent that this one repeats; 0 for a new
     *     command
     */
    private record Op(
            List<Integer> nodes, int changesBehind, int value, boolean delete, int resendOf) {}

    /**
     * An answer to a reader's request.
     *
     * @param requestAge how many messages ago the reader had the position in the request
     * @param replicaLag how many changes the answering replica lags behind
     */
    private record Message(int requestAge, int replicaLag) {}

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

    /** Returns the command of an op; its author read the tree some changes ago. */
    private static ChangeSettings command(Op op, int index, List<SettingsTree> seenTrees) {
        SettingsTree tree = seenTrees.get(Math.max(0, seenTrees.size() - 1 - op.changesBehind()));
        List<NodeChange> changes = new ArrayList<>();
        for (int n : op.nodes()) {
            long version =
                    tree.node(NodePath.parse(PATHS.get(n))).map(SettingsNode::version).orElse(0L);
            Map<String, String> set =
                    op.delete() ? Map.of() : Map.of("retry.max-attempts", "" + op.value());
            changes.add(new NodeChange(PATHS.get(n), version, set, List.of(), op.delete()));
        }
        Instant timestamp = Instant.EPOCH.plusSeconds(index);
        return new ChangeSettings(timestamp, "c" + index, "tester", changes);
    }

    /** Applies the ops and returns the initial tree and the tree after each op. */
    private static List<SettingsTree> run(SettingsStore store, List<Op> ops) {
        List<SettingsTree> trees = new ArrayList<>(List.of(store.tree()));
        for (int i = 0; i < ops.size(); i++) {
            store.apply(i + 1, command(ops.get(i), i, trees));
            trees.add(store.tree());
        }
        return trees;
    }

    @Property(seed = "311", tries = 300)
    void changesAreAtomicAndResendsGetTheFirstAnswer(@ForAll("ops") List<Op> ops) {
        SettingsStore store = new SettingsStore(SettingsState.EMPTY, SMALL_LIMITS);
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
        boolean isConflict =
                c.changes().stream()
                        .anyMatch(n -> model.getOrDefault(n.path(), 0L) != n.expectedVersion());
        assertThat(answer.code() == ResultCode.SETTINGS_CONFLICT).isEqualTo(isConflict);
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
    void restoredReplicaBehavesLikeTheOriginal(
            @ForAll("ops") List<Op> first, @ForAll("ops") List<Op> rest) {
        SettingsStore store = new SettingsStore(SettingsState.EMPTY, SMALL_LIMITS);
        List<SettingsTree> trees = run(store, first);
        SettingsStore restored = new SettingsStore(store.state(), SMALL_LIMITS);
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
    void earlierTreesAreAvailableWhileTheirChangesAreKept(@ForAll("ops") List<Op> ops) {
        SettingsStore store = new SettingsStore(SettingsState.EMPTY, SMALL_LIMITS);
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
    void readerNeverGoesBackAndAlwaysHasAConsistentTree(
            @ForAll("ops") List<Op> ops, @ForAll("messages") List<Message> messages) {
        // A reader sends requests to several control instances, some of which lag behind. Answers
        // arrive late and out of order; each contains the nodes that changed after the position of
        // its request. If an old answer were applied, an accepted change would be in force, then
        // reverted, then in force again.
        SettingsStore store = new SettingsStore(SettingsState.EMPTY, SMALL_LIMITS);
        List<SettingsTree> trees = run(store, ops);
        SettingsReader reader = new SettingsReader();
        List<Long> positions = new ArrayList<>(List.of(0L));
        for (Message m : messages) {
            long requestPosition =
                    positions.get(Math.max(0, positions.size() - 1 - m.requestAge()));
            long before = reader.position();
            int replicaPosition = Math.max(0, trees.size() - 1 - m.replicaLag());
            reader.apply(replicaAt(replicaPosition, ops).deltaSince(requestPosition));
            assertThat(reader.position()).isGreaterThanOrEqualTo(before);
            assertThat(reader.tree().nodes()).isEqualTo(trees.get((int) reader.position()).nodes());
            positions.add(reader.position());
        }
        reader.apply(store.deltaSince(reader.position()));
        assertThat(reader.tree().nodes()).isEqualTo(store.tree().nodes());
    }

    private static SettingsStore replicaAt(int position, List<Op> ops) {
        SettingsStore replica = new SettingsStore(SettingsState.EMPTY, SMALL_LIMITS);
        run(replica, ops.subList(0, position));
        return replica;
    }
}
