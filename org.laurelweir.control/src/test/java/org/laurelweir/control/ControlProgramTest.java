package org.laurelweir.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Path;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.wire.v1.ChangeMembersReply;
import org.laurelweir.wire.v1.ChangeMembersRequest;
import org.laurelweir.wire.v1.ChangeMembersRequest.Step;
import org.laurelweir.wire.v1.ChangeSettingsReply;
import org.laurelweir.wire.v1.ChangeSettingsRequest;
import org.laurelweir.wire.v1.LossTolerance;
import org.laurelweir.wire.v1.MissingVoter;
import org.laurelweir.wire.v1.NodeChange;
import org.laurelweir.wire.v1.ReadSettingsReply;
import org.laurelweir.wire.v1.ReadSettingsRequest;
import org.laurelweir.wire.v1.ReplicaId;
import org.laurelweir.wire.v1.StatusRequest;

/** Tests complete control instances with real connections and files. */
class ControlProgramTest {
    @TempDir Path mFolder;

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 5, 7})
    void changeIsAcceptedAndReadBack(int instances) throws Exception {
        try (ControlFleet fleet = new ControlFleet(mFolder, instances).startAll()) {
            ChangeSettingsReply changed = change(fleet, "change-1", "/service=seilhjerne", 0);
            assertThat(changed.getCode()).isEqualTo(ResultCode.OK.number());
            assertThat(read(fleet).getPosition()).isEqualTo(changed.getPosition());
        }
    }

    // Guards against an instance without a data folder in a deployment with configured peers. Such
    // an instance would start and never vote, so that a quorum would have one instance fewer than
    // planned.
    @Test
    void anInstanceWithConfiguredPeersNeedsADisk() throws Exception {
        try (ControlFleet fleet = new ControlFleet(mFolder, 1)) {
            assertThatThrownBy(() -> fleet.startWithoutDisk("c1"))
                    .isInstanceOfSatisfying(
                            LaurelweirException.class,
                            e -> assertThat(e.getCode()).isEqualTo(ResultCode.BAD_SETTINGS_FILE));
        }
    }

    // Stops the leader right after it has answered a change. The change must survive, since it was
    // on a majority of the disks before the answer. A retry with the same id must get the first
    // answer.
    @Test
    void acceptedChangeSurvivesLeader() throws Exception {
        try (ControlFleet fleet = new ControlFleet(mFolder, 3).startAll()) {
            ChangeSettingsReply first = change(fleet, "change-1", "/service=seilhjerne", 0);
            fleet.stop(leader(fleet));
            assertThat(read(fleet).getPosition()).isEqualTo(first.getPosition());
            assertThat(change(fleet, "change-1", "/service=seilhjerne", 0)).isEqualTo(first);
        }
    }

    // Stops and restarts every instance. An acknowledged change must be on the disks.
    @Test
    void acceptedChangeSurvivesRestartOfAll() throws Exception {
        try (ControlFleet fleet = new ControlFleet(mFolder, 3).startAll()) {
            ChangeSettingsReply first = change(fleet, "change-1", "/service=seilhjerne", 0);
            fleet.names().forEach(fleet::stop);
            fleet.startAll();
            assertThat(read(fleet).getPosition()).isEqualTo(first.getPosition());
        }
    }

    // Restarts an instance with an empty disk under its old name. It has lost its votes and
    // entries, so it must not count until it has received the log, and its old replica is then
    // removed. Another instance is stopped right after that, and the accepted change must survive.
    @Test
    void lostDiskIsReplacedBeforeAnotherIsLost() throws Exception {
        try (ControlFleet fleet = new ControlFleet(mFolder, 3).startAll()) {
            ChangeSettingsReply first = change(fleet, "change-1", "/service=seilhjerne", 0);
            ReplicaId lost = replica(fleet, "c3");
            fleet.stop("c3");
            fleet.start("c3", mFolder.resolve("c3-new"));
            ReplicaId replacement = replica(fleet, "c3");
            fleet.ask(
                    s -> s.status(StatusRequest.getDefaultInstance()).getControls(0),
                    c ->
                            c.getVotersList().contains(replacement)
                                    && !c.getVotersList().contains(lost));
            fleet.stop(leader(fleet));
            assertThat(read(fleet).getPosition()).isEqualTo(first.getPosition());
        }
    }

    // Stops two of three instances. The third can't know whether a change would be kept. It must
    // neither accept the change nor reject it for good, and it must go on serving its settings.
    @Test
    void acceptsNoChangeWithoutAQuorum() throws Exception {
        try (ControlFleet fleet = new ControlFleet(mFolder, 3).startAll()) {
            change(fleet, "change-1", "/service=seilhjerne", 0);
            String remaining = leader(fleet);
            fleet.names().stream().filter(n -> !n.equals(remaining)).forEach(fleet::stop);
            ChangeSettingsReply reply =
                    fleet.stub(remaining)
                            .changeSettings(request("change-2", "/service=havnebok", 0));
            assertThat(ResultCode.of(reply.getCode()))
                    .isIn(ResultCode.OUTCOME_UNKNOWN, ResultCode.NO_QUORUM);
            ReadSettingsReply stale =
                    fleet.stub(remaining).readSettings(ReadSettingsRequest.getDefaultInstance());
            assertThat(stale.getNodesCount()).isEqualTo(1);
        }
    }

    @Test
    void operatorRemovesAnInstanceAndAddsItAgain() throws Exception {
        try (ControlFleet fleet = new ControlFleet(mFolder, 3).startAll()) {
            change(fleet, "change-1", "/service=seilhjerne", 0);
            String follower =
                    fleet.names().stream().filter(n -> !n.equals(leader(fleet))).findAny().get();
            ReplicaId replica = replica(fleet, follower);
            assertThat(members(fleet, Step.REMOVE, replica).getVotersCount()).isEqualTo(2);
            assertThat(members(fleet, Step.ADD_LEARNER, replica).getLearnersList())
                    .containsExactly(replica);
            assertThat(members(fleet, Step.PROMOTE, replica).getVotersCount()).isEqualTo(3);
        }
    }

    // Guards against an instance that does not say, when asked, that the log can't bear a loss.
    @Test
    void everyInstanceTellsThatTheLogCanBearNoFurtherLoss() throws Exception {
        try (ControlFleet fleet = new ControlFleet(mFolder, 3).startAll()) {
            fleet.names().forEach(n -> awaitLossTolerance(fleet, n, t -> t.getNow() == 1));
            String leader = leader(fleet);
            String lost = fleet.names().stream().filter(n -> !n.equals(leader)).findAny().get();
            fleet.stop(lost);
            for (String name : fleet.names()) {
                if (!name.equals(lost)) {
                    awaitLossTolerance(fleet, name, t -> t.getNow() == 0 && isMissing(t, lost));
                }
            }
        }
    }

    private static void awaitLossTolerance(
            ControlFleet fleet, String name, Predicate<LossTolerance> wanted) {
        fleet.ask(
                name,
                s -> s.status(StatusRequest.getDefaultInstance()),
                r ->
                        r.getControlsList().stream()
                                .filter(c -> c.getLeader() && c.hasLossTolerance())
                                .anyMatch(c -> wanted.test(c.getLossTolerance())));
    }

    private static boolean isMissing(LossTolerance t, String name) {
        return t.getMissingCount() == 1
                && t.getMissing(0).getVoter().getName().equals(name)
                && t.getMissing(0).getCause() == MissingVoter.Cause.SILENT;
    }

    private static ReplicaId replica(ControlFleet fleet, String name) {
        return fleet.stub(name)
                .status(StatusRequest.getDefaultInstance())
                .getControls(0)
                .getReplica();
    }

    private static ChangeMembersReply members(ControlFleet fleet, Step step, ReplicaId replica) {
        ChangeMembersRequest request =
                ChangeMembersRequest.newBuilder().setStep(step).setReplica(replica).build();
        return fleet.ask(s -> s.changeMembers(request), r -> r.getCode() == 0);
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
        ChangeSettingsRequest request = request(id, path, version);
        return fleet.ask(
                s -> s.changeSettings(request), r -> !ControlFleet.isRetryable(r.getCode()));
    }

    private static ChangeSettingsRequest request(String id, String path, long version) {
        return ChangeSettingsRequest.newBuilder()
                .setChangeId(id)
                .setAuthor("test")
                .addChanges(NodeChange.newBuilder().setPath(path).setExpectedVersion(version))
                .build();
    }

    private static ReadSettingsReply read(ControlFleet fleet) {
        ReadSettingsRequest request =
                ReadSettingsRequest.newBuilder().setLinearizable(true).build();
        return fleet.ask(s -> s.readSettings(request), r -> !ControlFleet.isRetryable(r.getCode()));
    }
}
