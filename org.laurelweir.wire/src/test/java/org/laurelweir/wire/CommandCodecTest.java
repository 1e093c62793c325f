package org.laurelweir.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.laurelweir.coordination.Command;
import org.laurelweir.coordination.ControlState;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.Departure;
import org.laurelweir.settings.TextPatch;
import org.laurelweir.settings.TreePatch;

/** Tests that commands and snapshots are decoded as they were encoded. */
class CommandCodecTest {
    private static final Instant TIMESTAMP = Instant.ofEpochMilli(1_700_000_000_123L);
    private static final AttemptId ATTEMPT = new AttemptId("r1", -5, 7, 2);
    private static final List<Command> COMMANDS =
            List.of(
                    new Command.ChangeSettings(
                            TIMESTAMP,
                            "id",
                            "operator",
                            List.of(
                                    new Command.NodeChange(
                                            "/service=s", 0, Map.of(), List.of(), false),
                                    new Command.NodeChange(
                                            "/service=t", 0, Map.of(), List.of(), false))),
                    new Command.Claim(
                            TIMESTAMP,
                            "account",
                            "key",
                            "service",
                            -3,
                            ATTEMPT,
                            new BackendRef("w1", -9),
                            ATTEMPT.next(),
                            Duration.ofHours(1)),
                    new Command.Claim(
                            TIMESTAMP,
                            "account",
                            "other",
                            "service",
                            0,
                            ATTEMPT,
                            new BackendRef("w1", 1),
                            null,
                            Duration.ofHours(1)),
                    new Command.SettleClaim(
                            TIMESTAMP, "account", "key", ATTEMPT, ResultCode.OUTCOME_UNKNOWN),
                    new Command.Drain(TIMESTAMP, "w1", true, "operator"),
                    new Command.DrainDataCentre(TIMESTAMP, "bergen", true, "operator"),
                    new Command.IssueFence(TIMESTAMP, "w1"),
                    new Command.RecordDeparture(
                            TIMESTAMP,
                            new BackendRef("w1", 7),
                            Backend.State.DRAINING,
                            Departure.FINAL_SESSION,
                            Duration.ofMinutes(10)),
                    new Command.PatchSettings(
                            TIMESTAMP,
                            0,
                            3,
                            "operator",
                            new TreePatch(Map.of("/", Map.of()), List.of()),
                            new TextPatch(List.of(new TextPatch.Piece(0, 0, "text")))));

    private final CommandCodec mCodec = new CommandCodec();

    @Test
    void commandsRoundTrip() {
        for (Command c : COMMANDS) {
            assertThat(mCodec.decodeCommand(mCodec.encode(c))).isEqualTo(c);
        }
    }

    @Test
    void snapshotRoundTrips() {
        ControlState state = new ControlState(ControlState.Limits.DEFAULT);
        for (int i = 0; i < COMMANDS.size(); i++) {
            state.apply(i + 1, COMMANDS.get(i));
        }
        ControlState.Snapshot snapshot = state.snapshot();
        assertThat(mCodec.decodeSnapshot(mCodec.encode(snapshot))).isEqualTo(snapshot);
    }

    // A replica that skipped an entry that it cannot read would diverge from the other replicas.
    @Test
    void unknownCommandIsRejected() {
        assertThatThrownBy(() -> mCodec.decodeCommand(new byte[0]))
                .isInstanceOfSatisfying(
                        LaurelweirException.class,
                        e -> assertThat(e.getCode()).isEqualTo(ResultCode.LOG_CORRUPT));
    }
}
