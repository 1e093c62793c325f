package org.laurelweir.benchmarks.steps;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.attempt.Header;
import org.laurelweir.attempt.LoadHint;
import org.laurelweir.coordination.Command;
import org.laurelweir.coordination.ControlState;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.MembershipDelta;
import org.laurelweir.membership.RouterReport;
import org.laurelweir.membership.ServiceLoad;
import org.laurelweir.membership.SidecarReport;
import org.laurelweir.settings.KeyDigest;
import org.laurelweir.settings.NodePath;
import org.laurelweir.settings.SettingsNode;
import org.laurelweir.settings.SettingsState;

/** Sample data with the shape and the lengths of a large deployment's data. */
final class SampleData {
    static final int SERVICES = 37;
    static final int REGIONS = 6;
    static final int DATA_CENTRES = 16;
    static final long INCARNATION = 1_700_000_000_000L;
    static final AttemptRequest.Cost COST = new AttemptRequest.Cost(100, 100);
    static final LoadHint LOAD_HINT = new LoadHint(12_345.5, 11_000.25, false);

    private SampleData() {}

    /**
     * Returns the key of the n-th chat. Like real keys, these are hashes over the range of long.
     */
    static long chat(long number) {
        return new SplittableRandom(number).nextLong();
    }

    static String service(int number) {
        return "service-" + number % SERVICES;
    }

    static String account(int number) {
        return "account-" + number;
    }

    static String backendName(int number) {
        return "worker-" + number;
    }

    /** Returns a backend server under the given session with control. */
    static Backend backend(int number, String service, int session) {
        return new Backend(
                new BackendRef(backendName(number), INCARNATION + number),
                service,
                "data-centre-" + number % DATA_CENTRES,
                "region-" + number % REGIONS,
                "10.1." + number / 256 + "." + number % 256 + ":7443",
                Backend.State.SERVING,
                1,
                session);
    }

    /** Returns a backend server whose sidecar has restarted the given number of times. */
    static Backend restarted(int number, String service, int restarts) {
        Backend b = backend(number, service, 1);
        return new Backend(
                new BackendRef(b.ref().id(), INCARNATION + number + restarts),
                service,
                b.dataCentre(),
                b.region(),
                b.address(),
                b.state(),
                b.weight(),
                b.session());
    }

    /** Returns backend servers that all belong to one service, the most expensive case. */
    static List<Backend> backends(int count) {
        return IntStream.range(0, count).mapToObj(i -> backend(i, service(0), 1)).toList();
    }

    static MembershipDelta delta(long version, boolean full, List<Backend> backends) {
        return new MembershipDelta(
                new MembershipCursor("control-1", INCARNATION, version), full, backends);
    }

    static List<ServiceLoad> loads() {
        return IntStream.range(0, SERVICES)
                .mapToObj(i -> new ServiceLoad(service(i), 1e9, 100))
                .toList();
    }

    static SidecarReport sidecarReport(Backend backend) {
        return new SidecarReport(backend, 12_345.5, 40, 2);
    }

    static RouterReport routerReport(int number) {
        return new RouterReport(
                "router-" + number,
                INCARNATION,
                "data-centre-" + number % DATA_CENTRES,
                "region-" + number % REGIONS,
                "10.2.0." + number + ":8080",
                "10.2.0." + number + ":8081");
    }

    static AttemptRequest.Call call() {
        Header header = new Header("content-type", "application/json");
        return new AttemptRequest.Call(
                "POST", "/v1/chat/completions", List.of(header), new byte[256], true);
    }

    /**
     * Returns a request that was redirected once, so that the receiving sidecar places it itself.
     */
    static AttemptRequest request(AttemptId id, BackendRef target, String account, long chat) {
        return AttemptRequest.builder(id, target)
                .account(account, 1)
                .service(service(0))
                .chat(chat, false)
                .call(call())
                .priority(5)
                .cost(COST)
                .redirects(1)
                .build();
    }

    static Command.Claim claim(Instant at, int number) {
        return new Command.Claim(
                at,
                account(number % 19_000),
                "order-2026-12-" + number,
                service(0),
                chat(number),
                new AttemptId("router-17", INCARNATION, number, 1),
                new BackendRef(backendName(number % 3_800), INCARNATION),
                null,
                Duration.ofHours(24));
    }

    /** Returns the settings node of a client account, with a key of its own. */
    static SettingsNode accountNode(int number, long version) {
        return SettingsNode.of(
                accountPath(number),
                version,
                Map.of(
                        "account.weight",
                        "2",
                        "account.key-digests",
                        KeyDigest.of("key-" + number)));
    }

    static List<SettingsNode> accountNodes(int count) {
        return IntStream.range(0, count).mapToObj(i -> accountNode(i, 1)).toList();
    }

    static NodePath accountPath(int number) {
        return NodePath.ofAccount(account(number));
    }

    /** Returns a control instance's state that holds only client accounts. */
    static ControlState.Snapshot snapshot(int accounts) {
        SettingsState settings =
                new SettingsState(1, accountNodes(accounts), 1, List.of(), List.of(), 0, "");
        return new ControlState.Snapshot(
                Instant.EPOCH, settings, List.of(), Map.of(), List.of(), 0, List.of(), List.of());
    }

    /** Returns a change of one client account's weight. */
    static Command.ChangeSettings change(Instant at, int number, int account, long version) {
        Command.NodeChange node =
                new Command.NodeChange(
                        "/account=" + account(account),
                        version,
                        Map.of("account.weight", Integer.toString(1 + number % 9)),
                        List.of(),
                        false);
        return new Command.ChangeSettings(
                at, "change-0f8fad5b-d9cb-469f-" + number, "operator-7", List.of(node));
    }
}
