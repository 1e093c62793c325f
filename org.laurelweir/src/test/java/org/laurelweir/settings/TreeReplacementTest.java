package org.laurelweir.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.laurelweir.coordination.Command.PatchSettings;
import org.laurelweir.coordination.Command.ReplaceSettings;
import org.laurelweir.lib.ResultCode;

/** Replacing the whole tree under an operator's revision. */
class TreeReplacementTest {
    private static final long SEED = 7;
    private static final int TREES = 400;

    private final SettingsStore mStore = SettingsSamples.store();
    private long mPosition;

    private static Map<String, Map<String, String>> tree(String... routes) {
        Map<String, Map<String, String>> nodes = new TreeMap<>();
        nodes.put("/", Map.of());
        nodes.put("/service=s", Map.of("service.kind", "routed"));
        nodes.put("/account=a", Map.of("account.key-digests", KeyDigest.of("secret")));
        for (String route : routes) {
            nodes.put("/route=" + route, route("/" + route + "/", "s:1"));
        }
        return nodes;
    }

    private static Map<String, String> route(String prefix, String shares) {
        return Map.of("route.host", "h", "route.path-prefix", prefix, "route.shares", shares);
    }

    private SettingsAnswer replace(long revision, Map<String, Map<String, String>> nodes) {
        return mStore.replace(
                ++mPosition,
                new ReplaceSettings(Instant.EPOCH, revision, "op", nodes, "text " + revision));
    }

    private ResultCode replaceNode(String path, Map<String, String> values) {
        Map<String, Map<String, String>> nodes = tree("x");
        nodes.put(path, values);
        return replace(100, nodes).code();
    }

    @Test
    void highestRevisionWins() {
        assertThat(replace(5, tree("x", "y")).code()).isEqualTo(ResultCode.OK);
        assertThat(replace(3, tree("z")).code()).isEqualTo(ResultCode.OK);
        assertThat(mStore.revision()).isEqualTo(5);
        assertThat(mStore.source()).isEqualTo("text 5");
        assertThat(mStore.tree().node(NodePath.ofRoute("z"))).isEmpty();
    }

    @Test
    void otherContentUnderTheRevisionInForceChangesNothing() {
        replace(5, tree("x"));
        assertThat(replace(5, tree("z")).code()).isEqualTo(ResultCode.OK);
        assertThat(mStore.tree().node(NodePath.ofRoute("z"))).isEmpty();
        assertThat(mStore.tree().node(NodePath.ofRoute("x"))).isPresent();
    }

    @Test
    void readersReceiveOnlyChangedNodes() {
        replace(5, tree("x", "y"));
        long before = mStore.tree().position();
        Map<String, Map<String, String>> nodes = tree("x", "z");
        replace(6, nodes);
        Map<String, Boolean> received = new HashMap<>();
        mStore.deltaSince(before)
                .nodes()
                .forEach(n -> received.put(n.path().toString(), n.deleted()));
        assertThat(received).isEqualTo(Map.of("/route=y", true, "/route=z", false));
    }

    @Test
    void invalidTreeIsRejected() {
        replace(5, tree("x"));
        assertThat(replaceNode("/route=y", route("/y/", "nobody:1")))
                .isEqualTo(ResultCode.SETTINGS_INVALID);
        assertThat(replaceNode("/route=y", route("/x/", "s:1")))
                .isEqualTo(ResultCode.SETTINGS_INVALID);
        assertThat(replaceNode("/route=y", route("/y/", "s:0")))
                .isEqualTo(ResultCode.SETTINGS_INVALID);
        assertThat(replaceNode("/route=y", route("/y", "s:1")))
                .isEqualTo(ResultCode.SETTINGS_INVALID);
        assertThat(replaceNode("/route=y", Map.of("route.host", "h")))
                .isEqualTo(ResultCode.SETTINGS_INVALID);
        Map<String, String> noTime = new HashMap<>(route("/y/", "s:1"));
        noTime.put("route.timeout", "0ms");
        assertThat(replaceNode("/route=y", noTime)).isEqualTo(ResultCode.SETTINGS_INVALID);
        assertThat(replaceNode("/account=b", Map.of("account.key-digests", KeyDigest.of("secret"))))
                .isEqualTo(ResultCode.SETTINGS_INVALID);
        assertThat(mStore.revision()).isEqualTo(5);
        assertThat(mStore.source()).isEqualTo("text 5");
    }

    @Test
    void invalidTreeIsRejectedUnderOldRevision() {
        replace(200, tree("x"));
        assertThat(replaceNode("/route=y", route("/y/", "nobody:1")))
                .isEqualTo(ResultCode.SETTINGS_INVALID);
    }

    // Guards against a valid tree that is rejected, and against an accepted tree in which two
    // routes have the same prefix. Only the changed nodes are validated. The random trees move
    // prefixes and bearer keys between nodes, remove services that are still referenced, and
    // reference removed services.
    @Test
    void treeIsAcceptedAfterAnotherIfAndOnlyIfItIsValid() {
        SplittableRandom random = new SplittableRandom(SEED);
        int acceptedCount = 0;
        for (int revision = 1; revision <= TREES; revision++) {
            Map<String, Map<String, String>> nodes = randomTree(random);
            SettingsStore alone = SettingsSamples.store();
            ResultCode expected =
                    alone.replace(1, new ReplaceSettings(Instant.EPOCH, 1, "op", nodes, "")).code();
            ResultCode code = replace(revision, nodes).code();
            assertThat(code).as("seed %d, tree %d: %s", SEED, revision, nodes).isEqualTo(expected);
            if (code == ResultCode.OK) {
                acceptedCount++;
                assertThat(values(mStore)).isEqualTo(values(alone));
                assertThat(values(mStore)).isEqualTo(nodes);
            }
        }
        assertThat(acceptedCount).isBetween(TREES / 5, TREES * 4 / 5);
    }

    // Guards against replicas that diverge because one applies a patch and another the whole tree.
    @Test
    void patchGivesTheSameTreeAsReplacement() {
        SplittableRandom random = new SplittableRandom(SEED);
        SettingsStore patched = SettingsSamples.store();
        for (int revision = 1; revision <= TREES; revision++) {
            ReplaceSettings whole =
                    new ReplaceSettings(
                            Instant.EPOCH, revision, "op", randomTree(random), "text " + revision);
            SettingsAnswer patchAnswer = patched.patch(revision, patched.patchTo(whole));
            assertThat(patchAnswer).isEqualTo(mStore.replace(revision, whole));
        }
        assertThat(patched.state()).isEqualTo(mStore.state());
    }

    // Guards against a late patch that is applied to another tree than the one from which it was
    // made: the result would be a tree that no operator sent.
    @Test
    void patchOfAnotherTreeIsRejected() {
        replace(5, tree("x"));
        ReplaceSettings whole =
                new ReplaceSettings(Instant.EPOCH, 7, "op", tree("x", "y"), "text 7");
        PatchSettings latePatch = mStore.patchTo(whole);
        replace(6, tree("z"));
        SettingsState before = mStore.state();
        assertThat(mStore.patch(++mPosition, latePatch).code())
                .isEqualTo(ResultCode.SETTINGS_CONFLICT);
        assertThat(mStore.state()).isEqualTo(before);
    }

    private static Map<String, Map<String, String>> values(SettingsStore store) {
        Map<String, Map<String, String>> values = new TreeMap<>();
        store.tree().nodes().forEach(n -> values.put(n.path().toString(), n.values()));
        return values;
    }

    private static Map<String, Map<String, String>> randomTree(SplittableRandom random) {
        Map<String, Map<String, String>> nodes = new TreeMap<>();
        nodes.put("/", Map.of());
        for (int i = 0; i < 3; i++) {
            if (random.nextInt(8) > 0) {
                nodes.put("/service=s" + i, Map.of("service.kind", "routed"));
            }
            String key = KeyDigest.of("k" + random.nextInt(20));
            nodes.put("/account=a" + i, Map.of("account.key-digests", key));
            String prefix = "/" + random.nextInt(20) + "/";
            nodes.put("/route=r" + random.nextInt(5), route(prefix, "s" + i + ":1"));
        }
        return nodes;
    }

    @Test
    void restoresRevisionAndSourceFromState() {
        replace(5, tree("x", "y"));
        SettingsStore copy = new SettingsStore(mStore.state(), mStore.limits());
        assertThat(copy.revision()).isEqualTo(5);
        assertThat(copy.source()).isEqualTo("text 5");
        assertThat(copy.tree().nodes()).isEqualTo(mStore.tree().nodes());
    }
}
