package org.laurelweir.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.wire.v1.ChangeSettingsReply;
import org.laurelweir.wire.v1.ChangeSettingsRequest;
import org.laurelweir.wire.v1.NodeChange;
import org.laurelweir.wire.v1.ReadSettingsReply;
import org.laurelweir.wire.v1.ReadSettingsRequest;
import org.laurelweir.wire.v1.StatusRequest;

/** Whole instances over real connections and files. */
class ControlProgramTest {
    @TempDir Path mFolder;

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 5})
    void changeIsAcceptedAndReadBack(int instances) throws Exception {
        try (ControlFleet fleet = new ControlFleet(mFolder, instances).startAll()) {
            ChangeSettingsReply changed = change(fleet, "change-1", "/service=seilhjerne", 0);
            assertThat(changed.getCode()).isEqualTo(ResultCode.OK.number());
            assertThat(read(fleet).getPosition()).isEqualTo(changed.getPosition());
        }
    }

    // The leader is stopped right after it answered a change. Its successor has the change, since
    // it was on most disks before the answer; a resend under the same id gets the first answer.
    @Test
    void acceptedChangeSurvivesLeader() throws Exception {
        try (ControlFleet fleet = new ControlFleet(mFolder, 3).startAll()) {
            ChangeSettingsReply first = change(fleet, "change-1", "/service=seilhjerne", 0);
            fleet.stop(leader(fleet));
            assertThat(read(fleet).getPosition()).isEqualTo(first.getPosition());
            assertThat(change(fleet, "change-1", "/service=seilhjerne", 0)).isEqualTo(first);
        }
    }

    // Every instance is stopped and started again; what was answered stands on the disks.
    @Test
    void acceptedChangeSurvivesRestartOfAll() throws Exception {
        try (ControlFleet fleet = new ControlFleet(mFolder, 3).startAll()) {
            ChangeSettingsReply first = change(fleet, "change-1", "/service=seilhjerne", 0);
            fleet.names().forEach(fleet::stop);
            fleet.startAll();
            assertThat(read(fleet).getPosition()).isEqualTo(first.getPosition());
        }
    }

    private static String leader(ControlFleet fleet) {
        return fleet.ask(
                        s -> s.status(StatusRequest.getDefaultInstance()),
                        r -> r.getControls(0).getLeader())
                .getControls(0)
                .getName();
    }

    private static ChangeSettingsReply change(
            ControlFleet fleet, String id, String path, long version) {
        ChangeSettingsRequest request =
                ChangeSettingsRequest.newBuilder()
                        .setChangeId(id)
                        .setAuthor("test")
                        .addChanges(
                                NodeChange.newBuilder().setPath(path).setExpectedVersion(version))
                        .build();
        return fleet.ask(
                s -> s.changeSettings(request), r -> !ControlFleet.isElsewhere(r.getCode()));
    }

    private static ReadSettingsReply read(ControlFleet fleet) {
        ReadSettingsRequest request =
                ReadSettingsRequest.newBuilder().setLinearizable(true).build();
        return fleet.ask(s -> s.readSettings(request), r -> !ControlFleet.isElsewhere(r.getCode()));
    }
}
