package org.laurelweir.control.history;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.laurelweir.control.history.RecordedCalls.Call;
import org.laurelweir.control.history.SimulatedControls.Node;
import org.laurelweir.coordination.Command;
import org.laurelweir.coordination.CommandResult;
import org.laurelweir.coordination.CommandResult.SettingsResult;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.settings.SettingsNode;

/**
 * Tests that compare-and-set of settings is linearizable while instances crash and are partitioned.
 */
class SettingsHistoryTest {
    private static final int CALLERS = 4;
    private static final List<String> PATHS = List.of("/service=a", "/service=b");

    private int mChangeCount;

    // Operators change two nodes with the versions that they saw last, and resend changes whose
    // answer was lost, while instances crash, are partitioned and recover what they had synced.
    // Each accepted change must follow the change whose version it expects, in an order that agrees
    // with the real-time order of the calls. Each conflict must name a version that was in force
    // during the call.
    @Property(tries = 40, seed = "1501")
    void compareAndSetIsLinearizable(@ForAll long seed) {
        SimulatedControls controls = new SimulatedControls(3, seed);
        RecordedCalls calls = new RecordedCalls(controls);
        Map<String, Long> seen = new HashMap<>();
        mChangeCount = 0;
        for (int caller = 0; caller < CALLERS; caller++) {
            changeNext(controls, calls, seen, 25);
        }
        injectFaults(controls, 12);
        controls.run(12_000);
        controls.heal();
        controls.runUntil(() -> calls.mCompleted.size() == CALLERS * 25);
        assertThat(calls.mCompleted).hasSize(CALLERS * 25);
        new HistoryCheck(calls.mCompleted).verify();
    }

    private void changeNext(
            SimulatedControls controls,
            RecordedCalls calls,
            Map<String, Long> seen,
            int remaining) {
        if (remaining == 0) {
            return;
        }
        String path = PATHS.get(controls.mRandom.nextInt(PATHS.size()));
        Command change =
                new Command.ChangeSettings(
                        Instant.EPOCH,
                        "change-" + mChangeCount++,
                        "caller",
                        List.of(
                                new Command.NodeChange(
                                        path,
                                        seen.getOrDefault(path, 0L),
                                        Map.of(),
                                        List.of(),
                                        false)));
        calls.execute(
                change,
                (c, result) -> {
                    recordVersions(seen, result);
                    controls.after(
                            controls.mRandom.nextInt(100),
                            () -> changeNext(controls, calls, seen, remaining - 1));
                });
    }

    private static void recordVersions(Map<String, Long> seen, CommandResult result) {
        for (SettingsNode n : ((SettingsResult) result).answer().nodes()) {
            seen.merge(n.path().toString(), n.version(), Math::max);
        }
    }

    static void injectFaults(SimulatedControls controls, int times) {
        for (int i = 0; i < times; i++) {
            Node node = controls.mNodes.get(controls.mRandom.nextInt(controls.mNodes.size()));
            long at = 500 + controls.mRandom.nextInt(10_000);
            long until = at + 200 + controls.mRandom.nextInt(3000);
            if (controls.mRandom.nextBoolean()) {
                controls.after(at, node::crash);
                controls.after(
                        until,
                        () -> {
                            if (node.mReducer == null) {
                                node.start();
                            }
                        });
            } else {
                controls.after(at, () -> node.mPartitioned = true);
                controls.after(until, () -> node.mPartitioned = false);
            }
        }
    }

    /** Checks a recorded history for linearizability. */
    private static final class HistoryCheck {
        private final List<Call> mCalls;
        private final Map<String, TreeMap<Long, Call>> mAccepted = new HashMap<>();

        HistoryCheck(List<Call> calls) {
            mCalls = calls;
            for (Call c : calls) {
                if (code(c) == ResultCode.OK) {
                    Call duplicate =
                            mAccepted
                                    .computeIfAbsent(path(c), p -> new TreeMap<>())
                                    .put(position(c), c);
                    assertThat(duplicate).isNull();
                }
            }
        }

        void verify() {
            mAccepted.values().forEach(this::verifyChain);
            mCalls.stream().filter(c -> code(c) == ResultCode.OK).forEach(this::verifyRealTime);
            mCalls.stream()
                    .filter(c -> code(c) == ResultCode.SETTINGS_CONFLICT)
                    .forEach(this::verifyConflict);
        }

        private void verifyChain(TreeMap<Long, Call> accepted) {
            long version = 0;
            for (Map.Entry<Long, Call> e : accepted.entrySet()) {
                assertThat(expected(e.getValue())).isEqualTo(version);
                version = e.getKey();
            }
        }

        private void verifyRealTime(Call c) {
            for (Call earlier : mCalls) {
                if (code(earlier) == ResultCode.OK && earlier.completedAt() < c.startedAt()) {
                    assertThat(position(earlier)).isLessThan(position(c));
                }
            }
        }

        private void verifyConflict(Call c) {
            long winner = ((SettingsResult) c.result()).answer().nodes().get(0).version();
            TreeMap<Long, Call> accepted = mAccepted.get(path(c));
            assertThat(accepted).containsKey(winner);
            assertThat(accepted.get(winner).startedAt()).isLessThanOrEqualTo(c.completedAt());
            Map.Entry<Long, Call> next = accepted.higherEntry(winner);
            if (next != null) {
                assertThat(next.getValue().completedAt()).isGreaterThanOrEqualTo(c.startedAt());
            }
        }

        private static ResultCode code(Call c) {
            return c.result().code();
        }

        private static long position(Call c) {
            return ((SettingsResult) c.result()).answer().position();
        }

        private static Command.NodeChange change(Call c) {
            return ((Command.ChangeSettings) c.command()).changes().get(0);
        }

        private static String path(Call c) {
            return change(c).path();
        }

        private static long expected(Call c) {
            return change(c).expectedVersion();
        }
    }
}
