package org.laurelweir.control.rpc;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.laurelweir.settings.NodePath;
import org.laurelweir.settings.SettingsDelta;
import org.laurelweir.settings.SettingsNode;
import org.laurelweir.wire.SettingsCodec;
import org.laurelweir.wire.v1.ExchangeRequest;
import org.laurelweir.wire.v1.RouterReport;
import org.laurelweir.wire.v1.SidecarReport;

/**
 * Tests the messages to routers after a start of all instances or a large change: every router asks
 * for the same nodes at the same time, each over a small link of its own.
 */
class SettingsMessagesTest {
    private static final int ROUTERS = 35;
    private static final int ROUTES = 1500;

    /**
     * Bytes that the link of a small machine, 7 Mbit/s, transfers in the 800 ms that a router waits
     * for an answer.
     */
    private static final int LINK_BYTES = 7_000_000 / 8 * 800 / 1000;

    private final SettingsMessages mMessages = new SettingsMessages();

    private static SettingsDelta tree(long position, boolean full, int routes) {
        List<SettingsNode> nodes = new ArrayList<>();
        for (int i = 0; i < routes; i++) {
            Map<String, String> values =
                    Map.of(
                            "host", "host" + i + ".example",
                            "prefix", "/prefix" + i + "/",
                            "service", "language-models",
                            "kind", "streaming",
                            "timeout", "5000ms",
                            "objective", "600ms",
                            "attempts", "2",
                            "resumable", "false");
            nodes.add(new SettingsNode(NodePath.parse("/route=r" + i), position, values, false));
        }
        return new SettingsDelta(position, full, nodes);
    }

    private static ExchangeRequest.Builder router(long position) {
        return ExchangeRequest.newBuilder()
                .setRouter(RouterReport.getDefaultInstance())
                .setSettingsPosition(position)
                .setReadsPackedNodes(true);
    }

    @Test
    void aFullTreeFitsThroughASmallLinkInTime() {
        // After a power loss each router asks for a tree of 1,500 routes. Without packing, the
        // answer takes most of the time that the router waits. The router then times out, asks the
        // next instance for the whole tree, and rejects callers for two or three seconds.
        SettingsDelta whole = tree(7, true, ROUTES);
        var plain = mMessages.messageFor(whole, router(0).setReadsPackedNodes(false).build());
        assertThat(plain.getSerializedSize()).isGreaterThan(LINK_BYTES / 3);
        var packed = mMessages.messageFor(whole, router(0).build());
        // The answer may take at most a third of the link, since callers arrive at the same time.
        assertThat(packed.getSerializedSize()).isLessThan(LINK_BYTES / 3);
        assertThat(SettingsCodec.toCore(packed)).isEqualTo(whole);
    }

    @Test
    void encodesAFullTreeOnceForAllRouters() {
        // If the tree were encoded for each router separately, and all copies held until they are
        // sent, they would fill the memory of a control instance.
        SettingsDelta whole = tree(7, true, ROUTES);
        var first = mMessages.messageFor(whole, router(0).build());
        for (int i = 1; i < ROUTERS; i++) {
            SettingsDelta again = new SettingsDelta(7, true, whole.nodes());
            assertThat(mMessages.messageFor(again, router(i % 3).build())).isSameAs(first);
        }
    }

    @Test
    void encodesAChangeOnceForAllRoutersAtTheSamePosition() {
        SettingsDelta change = tree(9, false, ROUTES);
        var first = mMessages.messageFor(change, router(8).build());
        assertThat(mMessages.messageFor(tree(9, false, ROUTES), router(8).build())).isSameAs(first);
        var more = mMessages.messageFor(tree(9, false, ROUTES + 1), router(7).build());
        assertThat(SettingsCodec.toCore(more).nodes()).hasSize(ROUTES + 1);
    }

    @Test
    void aReaderWithoutPackedNodeSupportGetsPlainNodes() {
        // A router of the previous version may still run while control is upgraded. If it could not
        // read the nodes, it would have no routes.
        SettingsDelta whole = tree(7, true, ROUTES);
        mMessages.messageFor(whole, router(0).build());
        var plain = mMessages.messageFor(whole, router(0).setReadsPackedNodes(false).build());
        assertThat(plain.getNodesCount()).isEqualTo(ROUTES);
    }

    @Test
    void aSidecarDoesNotGetTheMessageOfARouter() {
        // Sidecars receive fewer nodes of the same position.
        mMessages.messageFor(tree(7, true, ROUTES), router(0).build());
        ExchangeRequest sidecar =
                ExchangeRequest.newBuilder()
                        .setSidecar(SidecarReport.getDefaultInstance())
                        .setReadsPackedNodes(true)
                        .build();
        SettingsDelta fewer = tree(7, true, 3);
        assertThat(SettingsCodec.toCore(mMessages.messageFor(fewer, sidecar))).isEqualTo(fewer);
    }
}
