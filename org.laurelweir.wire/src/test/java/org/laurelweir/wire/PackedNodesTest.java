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

/** Tests the compressed form in which routers receive many settings nodes. */
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
        Arbitrary<SettingsNode> deleted =
                Arbitraries.integers()
                        .between(0, 50)
                        .map(i -> SettingsNode.tombstone(NodePath.ofRoute("r" + i), i));
        return Arbitraries.oneOf(set, deleted).list().ofMaxSize(30);
    }

    @Property(tries = 200, seed = "20261203")
    void packedNodesRoundTrip(@ForAll("nodes") List<SettingsNode> nodes) {
        assertThat(PackedNodes.unpack(PackedNodes.pack(nodes))).isEqualTo(nodes);
    }

    @Example
    void rejectsTruncatedAndInvalidBytes() {
        // Half of an answer must not be decoded as a smaller tree, because the receiver would then
        // drop routes.
        ByteString packed = PackedNodes.pack(List.of(route(1, "5s"), route(2, "3s")));
        ByteString half = packed.substring(0, packed.size() / 2);
        assertThatThrownBy(() -> PackedNodes.unpack(half)).isInstanceOf(LaurelweirException.class);
        ByteString text = ByteString.copyFromUtf8("not packed at all");
        assertThatThrownBy(() -> PackedNodes.unpack(text)).isInstanceOf(LaurelweirException.class);
    }
}
