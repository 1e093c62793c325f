package org.laurelweir.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laurelweir.settings.SettingsSamples.change;
import static org.laurelweir.settings.SettingsSamples.delete;
import static org.laurelweir.settings.SettingsSamples.set;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.laurelweir.coordination.Command.ChangeSettings;
import org.laurelweir.coordination.Command.NodeChange;
import org.laurelweir.lib.ResultCode;

/** Changes of settings: their answers and the resulting state. */
class SettingsStoreTest {
    private static final String DIGEST = KeyDigest.of("secret");

    private final SettingsStore mStore = SettingsSamples.store();

    /** Defines services s and p and accounts x and y at position 1. */
    private void defineServicesAndAccounts() {
        SettingsAnswer answer =
                mStore.apply(
                        1,
                        change(
                                "define",
                                set("/service=s", 0, "service.models", "m1,m2"),
                                set(
                                        "/service=p",
                                        0,
                                        "service.kind",
                                        "plain",
                                        "service.path-prefix",
                                        "/berths"),
                                set("/account=x", 0, "account.key-digests", DIGEST),
                                set("/account=y", 0)));
        assertThat(answer.code()).as(answer.toString()).isEqualTo(ResultCode.OK);
    }

    @Test
    void findsServicesAndAccounts() {
        defineServicesAndAccounts();
        SettingsTree tree = mStore.tree();
        assertThat(tree.serviceOfModel("m2")).contains("s");
        assertThat(tree.serviceOfModel("m3")).isEmpty();
        assertThat(tree.serviceOfPath("/berths/7")).contains("p");
        assertThat(tree.serviceOfPath("/berthsx")).isEmpty();
        assertThat(tree.serviceOfPath("*")).isEmpty();
        assertThat(tree.accountOfKey(DIGEST)).contains("x");
        assertThat(tree.services()).containsExactly("p", "s");
    }

    @Test
    void conflictReturnsTheCurrentNode() {
        // Two operators read version 1 of a node and both change it. The second change must not
        // silently overwrite the first one. Its author gets a conflict with the node's current
        // state, and no part of the change is applied, including that of another node.
        defineServicesAndAccounts();
        mStore.apply(2, change("first", set("/service=s", 1, "bound.factor", "1.5")));

        SettingsAnswer answer =
                mStore.apply(
                        3,
                        change(
                                "second",
                                set("/account=y", 1, "account.weight", "3"),
                                set("/service=s", 1, "bound.factor", "2")));

        assertThat(answer.code()).isEqualTo(ResultCode.SETTINGS_CONFLICT);
        assertThat(answer.position()).isEqualTo(2);
        assertThat(answer.nodes())
                .singleElement()
                .satisfies(n -> assertThat(n.version()).isEqualTo(2))
                .satisfies(n -> assertThat(n.values()).containsEntry("bound.factor", "1.5"));
        assertThat(mStore.tree().node(NodePath.ofAccount("y")).orElseThrow().version())
                .isEqualTo(1);
    }

    @Test
    void resentChangeGetsItsFirstAnswerAfterLaterChanges() {
        // The answer to an accepted change is lost. Its author sends the change again after another
        // operator has changed the node. If the change were evaluated again, the result would be a
        // conflict, and the author would wrongly conclude that it was never applied.
        defineServicesAndAccounts();
        ChangeSettings lost = change("lost", set("/service=s", 1, "bound.factor", "1.5"));
        SettingsAnswer first = mStore.apply(2, lost);
        mStore.apply(3, change("later", set("/service=s", 2, "bound.factor", "3")));

        assertThat(mStore.apply(4, lost)).isEqualTo(first);
        ChangeSettings other = change("lost", set("/service=s", 3, "bound.factor", "9"));
        assertThat(mStore.apply(5, other).code()).isEqualTo(ResultCode.CHANGE_ID_REUSED);
        assertThat(mStore.tree().position()).isEqualTo(3);
    }

    @Test
    void reportsEveryFaultAndChangesNothing() {
        defineServicesAndAccounts();
        SettingsState before = mStore.state();

        SettingsAnswer answer =
                mStore.apply(
                        2,
                        change(
                                "wrong",
                                set("/colour=blue", 0),
                                set("/", 0, "bound.factr", "2", "bound.factor", "1.01"),
                                set("/account=x", 1, "queue.max-age", "2s"),
                                set("/service=t", 0, "service.models", "m1"),
                                set("/service=none/account=y", 0),
                                set("/service=p", 1, "service.models", "m9"),
                                set("/service=s/rule=r", 0, "retry.max-attempts", "1"),
                                delete("/account=y", 1)));

        assertThat(answer.code()).isEqualTo(ResultCode.SETTINGS_INVALID);
        assertThat(answer.faults().stream().map(NodeFault::toString))
                .satisfiesExactlyInAnyOrder(
                        f -> assertThat(f).startsWith("/colour=blue: is not a path"),
                        f -> assertThat(f).startsWith("/ bound.factr: unknown key"),
                        f ->
                                assertThat(f)
                                        .isEqualTo(
                                                "/ bound.factor: is \"1.01\"; allowed:"
                                                        + " a number, from 1.05 to 10"),
                        f -> assertThat(f).startsWith("/account=x queue.max-age: does not belong"),
                        f -> assertThat(f).startsWith("/service=t: model m1 belongs to /service=s"),
                        f -> assertThat(f).startsWith("/service=none/account=y: needs /service"),
                        f -> assertThat(f).startsWith("/service=none/account=y: needs /account"),
                        f -> assertThat(f).startsWith("/service=p service.models: is set for"),
                        f -> assertThat(f).startsWith("/service=s/rule=r: matches every call"),
                        f -> assertThat(f).startsWith("/account=y: is named by other nodes: 1"));
        assertThat(mStore.state().nodes()).isEqualTo(before.nodes());
        assertThat(mStore.state().history()).isEqualTo(before.history());
    }

    @Test
    void movesAModelFromOneServiceToAnotherInOneChange() {
        defineServicesAndAccounts();
        SettingsAnswer answer =
                mStore.apply(
                        2,
                        change(
                                "move",
                                set("/service=s", 1, "service.models", "m1"),
                                set("/service=t", 0, "service.models", "m2")));
        assertThat(answer.code()).isEqualTo(ResultCode.OK);
        assertThat(mStore.tree().serviceOfModel("m2")).contains("t");
        assertThat(mStore.tree().serviceOfModel("m1")).contains("s");
    }

    @Test
    void recreatedNodeDoesNotReuseAVersion() {
        defineServicesAndAccounts();
        mStore.apply(2, change("delete", delete("/account=y", 1)));
        mStore.apply(3, change("again", set("/account=y", 0)));
        SettingsAnswer stale =
                mStore.apply(4, change("stale", set("/account=y", 1, "account.weight", "2")));
        assertThat(stale.code()).isEqualTo(ResultCode.SETTINGS_CONFLICT);
        assertThat(stale.nodes().get(0).version()).isEqualTo(3);
    }

    @Test
    void comparesPositionsAndListsChanges() {
        defineServicesAndAccounts();
        mStore.apply(5, change("a", set("/service=s", 1, "bound.factor", "1.5")));
        mStore.apply(7, change("b", set("/service=s", 5, "bound.factor", "2")));
        mStore.apply(8, change("c", set("/account=y", 1, "account.weight", "2")));

        assertThat(mStore.diff(1, 7).orElseThrow())
                .containsExactly(new ValueDiff(NodePath.ofService("s"), "bound.factor", null, "2"));
        assertThat(mStore.history(Optional.of(NodePath.ofService("s")), 2))
                .extracting(HistoryEntry::changeId)
                .containsExactly("b", "a");
        assertThat(mStore.deltaSince(5).nodes()).hasSize(2);
        assertThat(mStore.deltaSince(8).isEmpty()).isTrue();
    }

    @Test
    void evictsOldChangesAndAnswersBeyondTheLimits() {
        SettingsStore.Limits limits = new SettingsStore.Limits(2, 10, Duration.ofHours(1));
        SettingsStore store = new SettingsStore(SettingsState.EMPTY, limits);
        ChangeSettings first = change("1", set("/", 0));
        store.apply(1, first);
        store.apply(2, change("2", set("/", 1)));
        store.apply(3, change("3", set("/", 2)));

        assertThat(store.deltaSince(0).full()).isTrue();
        assertThat(store.deltaSince(1).full()).isFalse();
        assertThat(store.treeAt(0)).isEmpty();
        assertThat(store.apply(4, first).code()).isEqualTo(ResultCode.OK);
        Instant later = Instant.EPOCH.plus(Duration.ofHours(2));
        ChangeSettings late = new ChangeSettings(later, "1", "tester", first.changes());
        assertThat(store.apply(5, late).code()).isEqualTo(ResultCode.SETTINGS_CONFLICT);
        assertThat(store.state().answers()).hasSize(1);
    }

    // Guards against memory and snapshots that grow with each large change. The history and the
    // recorded answers are limited in bytes, too, so that fewer changes are kept than the limit on
    // their number allows. A reader that lacks evicted changes gets the whole tree.
    @Test
    void evictsLargeChangesBySize() {
        int bytes = 3_000;
        SettingsStore.Limits limits =
                new SettingsStore.Limits(100, bytes, 100, bytes, Duration.ofHours(1));
        SettingsStore store = new SettingsStore(SettingsState.EMPTY, limits);
        for (int position = 1; position <= 30; position++) {
            store.apply(position, change("large " + position, accounts(position)));
        }

        SettingsState state = store.state();
        assertThat(state.nodes()).hasSize(150);
        assertThat(state.history()).hasSizeBetween(1, 5);
        assertThat(state.answers()).hasSizeBetween(1, 5);
        assertThat(store.deltaSince(1).full()).isTrue();
        assertThat(store.deltaSince(29).full()).isFalse();
        SettingsStore restored = new SettingsStore(state, limits);
        restored.apply(31, change("large 31", accounts(31)));
        store.apply(31, change("large 31", accounts(31)));
        assertThat(restored.state()).isEqualTo(store.state());
    }

    // Guards against small changes that together make a tree too large to be loaded at a start.
    @Test
    void acceptedChangesFitIntoTheSmallestHeap() {
        defineServicesAndAccounts();
        int smallestHeap = 64 << 20;
        String path = "/" + "p".repeat(16_000);
        for (int position = 2; position <= 60; position++) {
            mStore.apply(position, change("rules " + position, rules(position, path)));
        }
        long bytes = mStore.tree().nodes().stream().mapToLong(SettingsNode::estimatedBytes).sum();
        assertThat(bytes).isLessThan(smallestHeap);
    }

    // Guards against a tree that exceeds the size limit, as it is from a version without the limit,
    // and that can't be made smaller.
    @Test
    void oversizedTreeAcceptsChangesThatShrinkIt() {
        String path = "/" + "p".repeat(16_000);
        List<SettingsNode> nodes = new ArrayList<>(List.of(node("/service=s")));
        for (int i = 0; i < 1_000; i++) {
            nodes.add(node("/service=s/rule=g" + i, "match.path", path));
        }
        SettingsState large = new SettingsState(1, nodes, 1, List.of(), List.of(), 0, "");
        SettingsStore store = new SettingsStore(large, SettingsStore.Limits.DEFAULT);
        assertThat(store.tree().estimatedBytes()).isGreaterThan(TreeSizeLimit.MAX_BYTES);

        SettingsAnswer more = store.apply(2, change("more", set("/account=x", 0)));
        assertThat(more.code()).isEqualTo(ResultCode.SETTINGS_INVALID);
        SettingsAnswer less = store.apply(3, change("less", delete("/service=s/rule=g7", 1)));
        assertThat(less.code()).isEqualTo(ResultCode.OK);
        assertThat(store.tree().estimatedBytes())
                .isEqualTo(
                        store.tree().nodes().stream()
                                .mapToLong(SettingsNode::estimatedBytes)
                                .sum());
    }

    private static SettingsNode node(String path, String... keyAndValue) {
        NodePath parsed = NodePath.parse(path);
        Map<String, String> values =
                keyAndValue.length == 0 ? Map.of() : Map.of(keyAndValue[0], keyAndValue[1]);
        return SettingsNode.of(parsed, 1, values);
    }

    private static NodeChange[] rules(int group, String path) {
        return IntStream.range(0, 100)
                .mapToObj(i -> set("/service=s/rule=g" + group + "-" + i, 0, "match.path", path))
                .toArray(NodeChange[]::new);
    }

    private static NodeChange[] accounts(int group) {
        return IntStream.range(0, 5)
                .mapToObj(i -> set("/account=g" + group + "-" + i, 0))
                .toArray(NodeChange[]::new);
    }

    @Test
    void rulesApplyOnlyToMatchingCalls() {
        defineServicesAndAccounts();
        mStore.apply(
                2,
                change(
                        "rules",
                        set(
                                "/service=s/rule=b",
                                0,
                                "match.model",
                                "m1",
                                "retry.max-attempts",
                                "5",
                                "priority.default",
                                "1"),
                        set(
                                "/service=s/rule=a",
                                0,
                                "match.path",
                                "/v1/*",
                                "retry.max-attempts",
                                "1")));
        SettingsLookup lookup = new SettingsLookup("vestkyst", "bergen");
        lookup.setTree(mStore.tree());
        EffectiveSettings s = lookup.effective("s", "x");

        EffectiveSettings both =
                s.forCall(new SettingsContext.Call("POST", "/v1/chat/completions", "m1"));
        assertThat(both.get(SettingKeys.RETRY_MAX_ATTEMPTS)).isEqualTo(1);
        assertThat(both.get(SettingKeys.PRIORITY_DEFAULT)).isEqualTo(1);
        assertThat(s.forCall(new SettingsContext.Call("POST", "/x", "m2"))).isSameAs(s);
        assertThat(lookup.effective("s", "x")).isSameAs(s);
        assertThat(Policies.requestPolicy(both).maxAttempts()).isEqualTo(1);
        assertThat(lookup.effective("p", "x").get(SettingKeys.RETRY_MAX_ATTEMPTS)).isEqualTo(3);
        assertThat(List.of(s.position(), both.position())).containsOnly(2L);
    }
}
