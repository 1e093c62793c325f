package org.laurelweir.benchmarks.steps;

import java.time.Instant;
import org.laurelweir.coordination.ControlState;
import org.laurelweir.wire.CommandCodec;

/** Measures a control instance's steps and the heap size of its state. */
final class ControlSteps {
    private static final int[] BACKENDS = {100, 1_000, 4_000};
    private static final int[] CLAIMS = {10_000, 100_000, 1_000_000};
    private static final int[] ACCOUNTS = {1_000, 5_000, 19_000};
    private static final int[] CHANGES = {1_000, 4_000, 10_000};

    private ControlSteps() {}

    static void report(Report out) {
        out.heading("control: steps of one of seven instances");
        out.steps("sidecar's exchange without news", "backends", BACKENDS, ControlSteps::sidecar);
        out.steps("sidecar's exchange with a change", "backends", BACKENDS, ControlSteps::change);
        out.steps("router's exchange without news", "backends", BACKENDS, ControlSteps::router);
        out.steps(
                "new router's exchange (whole view)",
                "backends",
                BACKENDS,
                ControlSteps::newRouter);
        out.steps("tick (each 20 ms)", "backends", BACKENDS, ControlSteps::tick);
        out.steps("a second of all of these, no news", "backends", BACKENDS, ControlSteps::second);
        out.heading("control: the state machine over the log");
        out.steps("claim", "claims", CLAIMS, ControlSteps::claim);
        out.steps("change of one settings node", "accounts", ACCOUNTS, ControlSteps::settings);
        out.steps("whole tree for a new reader", "accounts", ACCOUNTS, ControlSteps::tree);
        out.steps("snapshot, taken", "claims", CLAIMS, n -> withClaims(n)::snapshot);
        out.steps("snapshot, taken and encoded", "claims", CLAIMS, ControlSteps::snapshot);
    }

    static void reportHeap(Report out) {
        out.heading("control: heap of the state");
        out.heap("backend server", "backends", BACKENDS, n -> () -> new ControlDriver(n));
        out.heap("claim", "claims", CLAIMS, n -> () -> withClaims(n));
        out.heap(
                "client account's settings node", "accounts", ACCOUNTS, n -> () -> withAccounts(n));
        out.heap("change id with its history", "changes", CHANGES, n -> () -> withChanges(n));
    }

    private static Runnable sidecar(int backends) {
        ControlDriver control = new ControlDriver(backends);
        int[] number = {0};
        return () -> control.exchangeSidecar(number[0]++);
    }

    private static Runnable change(int backends) {
        ControlDriver control = new ControlDriver(backends);
        int[] number = {0};
        return () -> {
            number[0]++;
            control.changeSidecar(number[0], 1 + number[0]);
        };
    }

    private static Runnable router(int backends) {
        ControlDriver control = new ControlDriver(backends);
        int[] number = {0};
        return () -> control.exchangeRouter(number[0]++ % ControlDriver.ROUTERS);
    }

    private static Runnable newRouter(int backends) {
        ControlDriver control = new ControlDriver(backends);
        int[] number = {0};
        return () -> control.exchangeNewRouter(number[0]++ % ControlDriver.ROUTERS);
    }

    private static Runnable tick(int backends) {
        return new ControlDriver(backends)::tick;
    }

    private static Runnable second(int backends) {
        return new ControlDriver(backends)::runSecond;
    }

    private static ControlState withClaims(int claims) {
        ControlState state = new ControlState(ControlState.Limits.DEFAULT);
        for (int i = 0; i < claims; i++) {
            state.apply(i + 1, SampleData.claim(Instant.EPOCH.plusMillis(i), i));
        }
        return state;
    }

    /**
     * Returns a step that applies a claim. Time advances 1 ms a claim, so that no claim expires.
     */
    private static Runnable claim(int claims) {
        ControlState state = withClaims(claims);
        int[] next = {claims};
        return () -> {
            Instant at = Instant.EPOCH.plusMillis(next[0]);
            state.apply(next[0] + 1, SampleData.claim(at, next[0]));
            next[0]++;
        };
    }

    private static Runnable snapshot(int claims) {
        ControlState state = withClaims(claims);
        CommandCodec codec = new CommandCodec();
        return () -> codec.encode(state.snapshot());
    }

    private static ControlState withAccounts(int accounts) {
        ControlState state = new ControlState(ControlState.Limits.DEFAULT);
        state.restore(SampleData.snapshot(accounts));
        return state;
    }

    private static Runnable settings(int accounts) {
        ControlState state = withAccounts(accounts);
        int[] next = {1};
        return () -> change(state, ++next[0], next[0] % accounts);
    }

    private static Runnable tree(int accounts) {
        ControlState state = withAccounts(accounts);
        return () -> state.settings().deltaSince(0);
    }

    private static ControlState withChanges(int changes) {
        ControlState state = withAccounts(1);
        for (int i = 0; i < changes; i++) {
            change(state, i + 2, 0);
        }
        return state;
    }

    private static void change(ControlState state, int position, int account) {
        long version =
                state.settings().tree().node(SampleData.accountPath(account)).get().version();
        Instant at = Instant.EPOCH.plusSeconds(position);
        state.apply(position, SampleData.change(at, position, account, version));
    }
}
