package org.laurelweir.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.settings.NodePath;
import org.laurelweir.settings.SettingsNode;

/** Settings nodes in the form in which routers are told many of them. */
class PackedNodesTest {
    private static SettingsNode route(int number, String timeout) {
        Map<String, String> values = Map.of("timeout", timeout, "attempts", "2");
        return SettingsNode.of(NodePath.ofRoute("r" + number), 7, values);
    }

    @Provide
    Arbitrary<List<SettingsNode>> nodes() {
        Arbitrary<String> keys = Arbitraries.of("timeout", "attempts", "a key that nobody knows");
        Arbitrary<Map<String, String>> values =
                Arbitraries.maps(keys, Arbitraries.strings().ofMaxLength(40));
        Arbitrary<SettingsNode> set =
                Combinators.combine(Arbitraries.integers().between(0, 50), values)
                        .as((i, v) -> SettingsNode.of(NodePath.ofRoute("r" + i), i, v));
        Arbitrary<SettingsNode> gone =
                Arbitraries.integers()
                        .between(0, 50)
                        .map(i -> SettingsNode.tombstone(NodePath.ofRoute("r" + i), i));
        return Arbitraries.oneOf(set, gone).list().ofMaxSize(30);
    }

    @Property(tries = 200, seed = "20261203")
    void whatIsPackedIsUnpackedAsItWas(@ForAll("nodes") List<SettingsNode> nodes) {
        assertThat(PackedNodes.unpack(PackedNodes.pack(nodes))).isEqualTo(nodes);
    }

    @Example
    void brokenBytesAreAnErrorAndNoSettings() {
        // Half of an answer must not be taken for a smaller tree: its reader would drop routes.
        ByteString packed = PackedNodes.pack(List.of(route(1, "5s"), route(2, "3s")));
        ByteString half = packed.substring(0, packed.size() / 2);
        assertThatThrownBy(() -> PackedNodes.unpack(half)).isInstanceOf(LaurelweirException.class);
        ByteString text = ByteString.copyFromUtf8("not packed at all");
        assertThatThrownBy(() -> PackedNodes.unpack(text)).isInstanceOf(LaurelweirException.class);
    }
}
