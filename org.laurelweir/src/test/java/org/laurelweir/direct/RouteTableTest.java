package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.laurelweir.settings.NodePath;
import org.laurelweir.settings.SettingsNode;
import org.laurelweir.settings.SettingsTree;

/** Tests which route a request takes, and which routes stay cached. */
class RouteTableTest {
    private static SettingsNode route(String name, String host, String prefix) {
        return SettingsNode.of(
                NodePath.ofRoute(name),
                1,
                Map.of("route.host", host, "route.path-prefix", prefix, "route.shares", "s:1"));
    }

    private static SettingsNode service(String kind) {
        return SettingsNode.of(NodePath.ofService("s"), 1, Map.of("service.kind", kind));
    }

    private final RouteTable mTable =
            RouteTable.empty()
                    .withTree(
                            SettingsTree.of(
                                    1,
                                    List.of(
                                            service("routed"),
                                            route("a", "h", "/a/"),
                                            route("ab", "h", "/a/b/"),
                                            route("other", "i", "/a/"))));

    private String find(String host, String path) {
        return mTable.find(host, path).map(Route::name).orElse("");
    }

    @Test
    void longestPrefixOfTheHostWins() {
        assertThat(find("h", "/a/x")).isEqualTo("a");
        assertThat(find("h", "/a/b/x")).isEqualTo("ab");
        assertThat(find("h", "/a/b")).isEqualTo("a");
        assertThat(find("I:8080", "/a/b/x")).isEqualTo("other");
    }

    @Test
    void unchangedRoutesStayCached() {
        // Each change of the settings concerns a few of some thousand routes. If all routes were
        // read again after each change, the next requests at every router would be delayed.
        SettingsTree before =
                SettingsTree.of(
                        1,
                        List.of(service("routed"), route("a", "h", "/a/"), route("b", "h", "/b/")));
        RouteTable table = RouteTable.empty().withTree(before);
        Route a = table.find("h", "/a/x").orElseThrow();
        SettingsTree after = before.with(2, List.of(route("b", "h", "/c/")));
        RouteTable next = table.withTree(after);
        assertThat(next.find("h", "/a/x")).containsSame(a);
        assertThat(next.find("h", "/b/x")).isEmpty();
        assertThat(next.find("h", "/c/x").map(Route::name)).contains("b");
        SettingsTree moved =
                after.with(3, List.of(SettingsNode.tombstone(NodePath.ofRoute("a"), 3)))
                        .with(4, List.of(route("d", "h", "/a/")));
        assertThat(next.withTree(moved).find("h", "/a/x").map(Route::name)).contains("d");
    }

    @Test
    void prefixMatchesWholePathSegments() {
        assertThat(find("h", "/ab/x")).isEmpty();
        assertThat(find("h", "/a")).isEmpty();
        assertThat(find("j", "/a/x")).isEmpty();
        assertThat(find("h", "*")).isEmpty();
    }

    @Test
    void knowsWhetherAllServicesAreRouted() {
        assertThat(mTable.allServicesRouted()).isTrue();
        SettingsTree mixed = SettingsTree.of(1, List.of(service("model")));
        assertThat(RouteTable.empty().withTree(mixed).allServicesRouted()).isFalse();
    }
}
