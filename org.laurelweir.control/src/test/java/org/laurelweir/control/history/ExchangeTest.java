package org.laurelweir.control.history;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;
import org.junit.jupiter.api.Test;
import org.laurelweir.control.history.SimulatedControls.Node;
import org.laurelweir.coordination.Command;
import org.laurelweir.coordination.ControlEffect.AnswerExchange;
import org.laurelweir.coordination.ControlEffect.AnswerPeerUpdate;
import org.laurelweir.coordination.ControlEvent;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.load.LoadReport;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.RouterReport;
import org.laurelweir.membership.SidecarReport;
import org.laurelweir.quarantine.CrashReport;

/**
 * Tests the answers to sidecars and routers from instances with and without contact to a quorum.
 */
class ExchangeTest {
    private static final long SEED = 1601;

    private final SimulatedControls mControls = new SimulatedControls(3, SEED);

    private void applyChange(Command command) {
        mControls.heal();
        RecordedCalls calls = new RecordedCalls(mControls);
        calls.execute(command, (c, result) -> {});
        mControls.runUntil(() -> !calls.mCompleted.isEmpty());
        mControls.run(1_000);
    }

    private static Command change(String id, String... paths) {
        List<Command.NodeChange> changes = new ArrayList<>();
        for (String p : paths) {
            changes.add(new Command.NodeChange(p, 0, Map.of(), List.of(), false));
        }
        return new Command.ChangeSettings(Instant.EPOCH, id, "operator", changes);
    }

    private AnswerExchange exchangeAsRouter(Node node, long position) {
        return exchangeAsRouter(node, "r1", position);
    }

    private AnswerExchange exchangeAsRouter(Node node, String name, long position) {
        RouterReport report = new RouterReport(name, 1, "bergen", "vestkyst", "", "");
        return exchange(
                node,
                call ->
                        new ControlEvent.RouterExchanged(
                                call,
                                report,
                                MembershipCursor.NONE,
                                position,
                                CrashReport.NONE,
                                LoadReport.NONE));
    }

    private AnswerExchange exchangeAsSidecar(Node node, Backend.State state) {
        Backend b =
                new Backend(new BackendRef("w1", 1), "a", "bergen", "vestkyst", "", state, 1, 1);
        SidecarReport report = new SidecarReport(b, 5, 1, 0);
        return exchange(
                node,
                call -> new ControlEvent.SidecarExchanged(call, report, MembershipCursor.NONE, 0));
    }

    private AnswerExchange exchange(Node node, LongFunction<ControlEvent> event) {
        List<AnswerExchange> answers = new ArrayList<>();
        node.call(event, a -> answers.add((AnswerExchange) a));
        mControls.run(10);
        return answers.get(0);
    }

    @Test
    void sidecarReceivesNoClientAccountNodes() {
        applyChange(change("1", "/service=a", "/account=x", "/service=a/account=x"));
        AnswerExchange answer = exchangeAsSidecar(mControls.mNodes.get(0), Backend.State.SERVING);
        assertThat(answer.settings().nodes()).hasSize(1);
        assertThat(answer.settings().position())
                .isEqualTo(exchangeAsRouter(mControls.mNodes.get(0), 0).settings().position());
    }

    // Partitions one instance. It must keep answering with its settings and report that they may be
    // stale, until it is in contact again.
    @Test
    void partitionedInstanceReportsThatItMayBeStale() {
        applyChange(change("1", "/service=a"));
        Node partitioned = mControls.mNodes.get(2);
        assertThat(exchangeAsRouter(partitioned, 0).possiblyStale()).isFalse();
        partitioned.mPartitioned = true;
        mControls.run(2_000);
        AnswerExchange stale = exchangeAsRouter(partitioned, 0);
        assertThat(stale.possiblyStale()).isTrue();
        assertThat(stale.settings().nodes()).hasSize(1);
        partitioned.mPartitioned = false;
        mControls.run(2_000);
        assertThat(exchangeAsRouter(partitioned, 0).possiblyStale()).isFalse();
    }

    // The limits of a client account are divided by the number of routers, so an instance must also
    // count routers that exchange with its peers. It receives them in peer updates, and must drop a
    // router after a minute without an exchange.
    @Test
    void routersOfAllInstancesAreCounted() {
        mControls.heal();
        Node asked = mControls.mNodes.get(0);
        for (Node n : mControls.mNodes) {
            exchangeAsRouter(n, "router-of-" + n.mId.name(), 0);
            sendPeerUpdate(n, asked);
        }
        assertThat(exchangeAsRouter(asked, "router-of-c0", 0).routerCount()).isEqualTo(3);
        mControls.run(75_000);
        assertThat(exchangeAsRouter(asked, "router-of-c0", 0).routerCount()).isEqualTo(1);
    }

    private void sendPeerUpdate(Node from, Node to) {
        List<AnswerPeerUpdate> answers = new ArrayList<>();
        from.call(
                call ->
                        new ControlEvent.PeerUpdateRequested(
                                call, "peer", MembershipCursor.NONE, 0, true),
                a -> answers.add((AnswerPeerUpdate) a));
        mControls.run(10);
        AnswerPeerUpdate update = answers.get(0);
        to.offer(
                new ControlEvent.PeerUpdateReceived(
                        from.mId.name(),
                        update.update(),
                        update.crashes(),
                        update.routers(),
                        update.status()));
    }

    // A router has newer settings than the instance. It must not receive the older ones as a
    // change, and must be told that the answer may be stale.
    @Test
    void readerAheadOfTheInstanceReceivesNoSettings() {
        applyChange(change("1", "/service=a"));
        AnswerExchange answer = exchangeAsRouter(mControls.mNodes.get(1), 1_000_000);
        assertThat(answer.settings().isEmpty()).isTrue();
        assertThat(answer.possiblyStale()).isTrue();
    }

    @Test
    void drainOrderReachesTheSidecarAndRoutersSeeItDraining() {
        Node node = mControls.mNodes.get(0);
        mControls.heal();
        for (Node n : mControls.mNodes) {
            exchangeAsSidecar(n, Backend.State.SERVING);
        }
        applyChange(new Command.Drain(Instant.EPOCH, "w1", true, "operator"));
        assertThat(exchangeAsSidecar(node, Backend.State.SERVING).orders().drain()).isTrue();
        exchangeAsSidecar(node, Backend.State.DRAINING);
        assertThat(exchangeAsRouter(node, 0).membership().backends())
                .extracting(Backend::state)
                .containsExactly(Backend.State.DRAINING);
    }
}
