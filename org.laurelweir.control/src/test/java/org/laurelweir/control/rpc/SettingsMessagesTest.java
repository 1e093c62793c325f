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
 * A start of everything, or a large change, seen from control: every router asks for the same nodes
 * at the same moment, each over a small link of its own.
 */
class SettingsMessagesTest {
    private static final int ROUTERS = 35;
    private static final int ROUTES = 1500;

    /** The link of a small machine, 7 Mbit/s, in the 800 ms that a router waits for an answer. */
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
    void aWholeTreeFitsThroughASmallLinkInTime() {
        // After a loss of power each router asks for a tree of 1,500 routes. Sent as it is, the
        // answer takes much of the time that the router waits, which then gives up, asks the next
        // instance for all of it again, and turns callers away for two or three seconds.
        SettingsDelta whole = tree(7, true, ROUTES);
        var plain = mMessages.of(whole, router(0).setReadsPackedNodes(false).build());
        assertThat(plain.getSerializedSize()).isGreaterThan(LINK_BYTES / 3);
        var packed = mMessages.of(whole, router(0).build());
        // A third of the link is left for callers, who come at the same time.
        assertThat(packed.getSerializedSize()).isLessThan(LINK_BYTES / 3);
        assertThat(SettingsCodec.toCore(packed)).isEqualTo(whole);
    }

    @Test
    void oneEncodingServesAllThatAskAtOnce() {
        // Each router's own encoding of the tree, all held until the links have taken them, would
        // be the memory of a control instance.
        SettingsDelta whole = tree(7, true, ROUTES);
        var first = mMessages.of(whole, router(0).build());
        for (int i = 1; i < ROUTERS; i++) {
            SettingsDelta again = new SettingsDelta(7, true, whole.nodes());
            assertThat(mMessages.of(again, router(i % 3).build())).isSameAs(first);
        }
    }

    @Test
    void oneEncodingServesAllThatLackTheSameChange() {
        SettingsDelta change = tree(9, false, ROUTES);
        var first = mMessages.of(change, router(8).build());
        assertThat(mMessages.of(tree(9, false, ROUTES), router(8).build())).isSameAs(first);
        var more = mMessages.of(tree(9, false, ROUTES + 1), router(7).build());
        assertThat(SettingsCodec.toCore(more).nodes()).hasSize(ROUTES + 1);
    }

    @Test
    void aReaderThatDoesNotReadPackedNodesGetsThemPlain() {
        // A router of the version before runs on while control is replaced. Nodes that it does not
        // see would leave it without a route.
        SettingsDelta whole = tree(7, true, ROUTES);
        mMessages.of(whole, router(0).build());
        var plain = mMessages.of(whole, router(0).setReadsPackedNodes(false).build());
        assertThat(plain.getNodesCount()).isEqualTo(ROUTES);
    }

    @Test
    void aSidecarIsNotToldWhatARouterIs() {
        // Sidecars are told fewer nodes of the same position.
        mMessages.of(tree(7, true, ROUTES), router(0).build());
        ExchangeRequest sidecar =
                ExchangeRequest.newBuilder()
                        .setSidecar(SidecarReport.getDefaultInstance())
                        .setReadsPackedNodes(true)
                        .build();
        SettingsDelta fewer = tree(7, true, 3);
        assertThat(SettingsCodec.toCore(mMessages.of(fewer, sidecar))).isEqualTo(fewer);
    }
}
