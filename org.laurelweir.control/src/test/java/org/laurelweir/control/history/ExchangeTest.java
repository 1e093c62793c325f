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

/** What sidecars and routers are told by instances in contact with a quorum, and by others. */
class ExchangeTest {
    private static final long SEED = 1601;

    private final SimulatedControls mControls = new SimulatedControls(3, SEED);

    private void accept(Command command) {
        mControls.heal();
        RecordedCalls calls = new RecordedCalls(mControls);
        calls.carryOut(command, (c, result) -> {});
        mControls.runUntil(() -> !calls.mEnded.isEmpty());
        mControls.run(1_000);
    }

    private static Command change(String id, String... paths) {
        List<Command.NodeChange> changes = new ArrayList<>();
        for (String p : paths) {
            changes.add(new Command.NodeChange(p, 0, Map.of(), List.of(), false));
        }
        return new Command.ChangeSettings(Instant.EPOCH, id, "operator", changes);
    }

    private AnswerExchange router(Node node, long position) {
        return router(node, "r1", position);
    }

    private AnswerExchange router(Node node, String name, long position) {
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

    private AnswerExchange sidecar(Node node, Backend.State state) {
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
    void sidecarIsToldNoSingleClientAccount() {
        accept(change("1", "/service=a", "/account=x", "/service=a/account=x"));
        AnswerExchange told = sidecar(mControls.mNodes.get(0), Backend.State.SERVING);
        assertThat(told.settings().nodes()).hasSize(1);
        assertThat(told.settings().position())
                .isEqualTo(router(mControls.mNodes.get(0), 0).settings().position());
    }

    // An instance is cut off while settings change. It goes on answering, with what it has, and
    // says that this may be old; in contact again it is up to date and says so.
    @Test
    void instanceThatIsCutOffSaysThatItMayBeStale() {
        accept(change("1", "/service=a"));
        Node cutOff = mControls.mNodes.get(2);
        assertThat(router(cutOff, 0).possiblyStale()).isFalse();
        cutOff.mCutOff = true;
        mControls.run(2_000);
        AnswerExchange stale = router(cutOff, 0);
        assertThat(stale.possiblyStale()).isTrue();
        assertThat(stale.settings().nodes()).hasSize(1);
        cutOff.mCutOff = false;
        mControls.run(2_000);
        assertThat(router(cutOff, 0).possiblyStale()).isFalse();
    }

    // Account limits are shared out by the count, so an instance must also count the routers that
    // exchange with others. It hears of them from its peers, and forgets the silent after a minute.
    @Test
    void routersOfAllInstancesAreCounted() {
        mControls.heal();
        Node asked = mControls.mNodes.get(0);
        for (Node n : mControls.mNodes) {
            router(n, "router-of-" + n.mId.name(), 0);
            share(n, asked);
        }
        assertThat(router(asked, "router-of-c0", 0).routerCount()).isEqualTo(3);
        mControls.run(75_000);
        assertThat(router(asked, "router-of-c0", 0).routerCount()).isEqualTo(1);
    }

    private void share(Node from, Node to) {
        List<AnswerPeerUpdate> answers = new ArrayList<>();
        from.call(
                call ->
                        new ControlEvent.PeerUpdateRequested(
                                call, "peer", MembershipCursor.NONE, 0, true),
                a -> answers.add((AnswerPeerUpdate) a));
        mControls.run(10);
        AnswerPeerUpdate told = answers.get(0);
        to.offer(
                new ControlEvent.PeerUpdateReceived(
                        from.mId.name(),
                        told.share(),
                        told.crashes(),
                        told.routers(),
                        told.status()));
    }

    // A router has newer settings than the instance that it asks. It must not be given the older
    // ones as if they were a change.
    @Test
    void readerThatIsAheadIsToldNothingAndThatThisMayBeStale() {
        accept(change("1", "/service=a"));
        AnswerExchange told = router(mControls.mNodes.get(1), 1_000_000);
        assertThat(told.settings().isEmpty()).isTrue();
        assertThat(told.possiblyStale()).isTrue();
    }

    @Test
    void drainOrderReachesTheSidecarAndItsDrainingEveryReader() {
        Node node = mControls.mNodes.get(0);
        mControls.heal();
        for (Node n : mControls.mNodes) {
            sidecar(n, Backend.State.SERVING);
        }
        accept(new Command.Drain(Instant.EPOCH, "w1", true, "operator"));
        assertThat(sidecar(node, Backend.State.SERVING).orders().drain()).isTrue();
        sidecar(node, Backend.State.DRAINING);
        assertThat(router(node, 0).membership().backends())
                .extracting(Backend::state)
                .containsExactly(Backend.State.DRAINING);
    }
}
