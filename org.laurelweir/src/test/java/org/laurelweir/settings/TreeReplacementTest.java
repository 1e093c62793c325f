package org.laurelweir.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.laurelweir.coordination.Command.ReplaceSettings;
import org.laurelweir.lib.ResultCode;

/** Replacing the whole tree under an operator's revision. */
class TreeReplacementTest {
    private final SettingsStore mStore = Trees.store();
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

    private ResultCode fault(String path, Map<String, String> values) {
        Map<String, Map<String, String>> nodes = tree("x");
        nodes.put(path, values);
        return replace(100, nodes).code();
    }

    @Test
    void theHighestRevisionWins() {
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
    void readersAreToldOnlyOfWhatChanged() {
        replace(5, tree("x", "y"));
        long before = mStore.tree().position();
        Map<String, Map<String, String>> nodes = tree("x", "z");
        replace(6, nodes);
        Map<String, Boolean> told = new HashMap<>();
        mStore.changesAfter(before)
                .nodes()
                .forEach(n -> told.put(n.path().toString(), n.deleted()));
        assertThat(told).isEqualTo(Map.of("/route=y", true, "/route=z", false));
    }

    @Test
    void anInvalidTreeIsRefusedWhole() {
        replace(5, tree("x"));
        assertThat(fault("/route=y", route("/y/", "nobody:1")))
                .isEqualTo(ResultCode.SETTINGS_INVALID);
        assertThat(fault("/route=y", route("/x/", "s:1"))).isEqualTo(ResultCode.SETTINGS_INVALID);
        assertThat(fault("/route=y", route("/y/", "s:0"))).isEqualTo(ResultCode.SETTINGS_INVALID);
        assertThat(fault("/route=y", route("/y", "s:1"))).isEqualTo(ResultCode.SETTINGS_INVALID);
        assertThat(fault("/route=y", Map.of("route.host", "h")))
                .isEqualTo(ResultCode.SETTINGS_INVALID);
        Map<String, String> noTime = new HashMap<>(route("/y/", "s:1"));
        noTime.put("route.timeout", "0ms");
        assertThat(fault("/route=y", noTime)).isEqualTo(ResultCode.SETTINGS_INVALID);
        assertThat(fault("/account=b", Map.of("account.key-digests", KeyDigest.of("secret"))))
                .isEqualTo(ResultCode.SETTINGS_INVALID);
        assertThat(mStore.revision()).isEqualTo(5);
        assertThat(mStore.source()).isEqualTo("text 5");
    }

    @Test
    void anInvalidTreeIsRefusedUnderAnOldRevisionToo() {
        replace(200, tree("x"));
        assertThat(fault("/route=y", route("/y/", "nobody:1")))
                .isEqualTo(ResultCode.SETTINGS_INVALID);
    }

    @Test
    void comesBackFromWhatItRemembers() {
        replace(5, tree("x", "y"));
        SettingsStore copy = new SettingsStore(mStore.state(), mStore.limits());
        assertThat(copy.revision()).isEqualTo(5);
        assertThat(copy.source()).isEqualTo("text 5");
        assertThat(copy.tree().nodes()).isEqualTo(mStore.tree().nodes());
    }
}
