package org.laurelweir.control;

import static java.util.Comparator.comparing;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.laurelweir.coordination.Command;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.wire.ReplicaCodec;
import org.laurelweir.wire.SettingsCodec;
import org.laurelweir.wire.v1.ChangeSettingsReply;
import org.laurelweir.wire.v1.ControlStatus;
import org.laurelweir.wire.v1.ReadSettingsReply;
import org.laurelweir.wire.v1.ReadSettingsRequest;
import org.laurelweir.wire.v1.StatusRequest;

/**
 * Tests instances that know a few seeds, and that join, count and replace each other automatically.
 */
class AutoJoinTest {
    private static final ReadSettingsRequest LINEARIZABLE =
            ReadSettingsRequest.newBuilder().setLinearizable(true).build();

    @TempDir Path mFolder;

    private static ControlStatus await(ControlFleet fleet, Predicate<ControlStatus> wanted) {
        return fleet.ask(s -> s.status(StatusRequest.getDefaultInstance()).getControls(0), wanted);
    }

    private static List<String> voters(ControlStatus status) {
        return status.getVotersList().stream().map(v -> ReplicaCodec.toCore(v).name()).toList();
    }

    private static ChangeSettingsReply change(ControlFleet fleet) {
        Command.NodeChange node =
                new Command.NodeChange("/service=s", 0, Map.of(), List.of(), false);
        Command.ChangeSettings change =
                new Command.ChangeSettings(Instant.EPOCH, "change-1", "test", List.of(node));
        return fleet.ask(
                s -> s.changeSettings(SettingsCodec.toWire(change)),
                r -> !ControlFleet.isRetryable(r.getCode()));
    }

    private static ReadSettingsReply read(ControlFleet fleet) {
        return fleet.ask(s -> s.readSettings(LINEARIZABLE), r -> r.getCode() == 0);
    }

    /**
     * Waits until there are three voters that include one instance. Another one must not be among
     * them any more.
     */
    private static void awaitVoterReplaced(ControlFleet fleet, String voter, String lost) {
        ControlStatus after =
                await(
                        fleet,
                        s -> s.getVotersCount() == 3 && voters(s).contains(fleet.address(voter)));
        assertThat(voters(after)).doesNotContain(fleet.address(lost));
    }

    @Test
    void instancesOutsideTheSeedListJoin() throws Exception {
        // Five instances with empty disks know three of them as seeds. They must bootstrap one log
        // in which all five vote.
        try (ControlFleet fleet = new ControlFleet(mFolder, 5).seeds(3).startAll()) {
            assertThat(change(fleet).getCode()).isEqualTo(ResultCode.OK.number());
            ControlStatus status = await(fleet, s -> s.getVotersCount() == 5);
            assertThat(voters(status))
                    .containsExactlyInAnyOrderElementsOf(
                            fleet.names().stream().map(fleet::address).toList());
        }
    }

    @Test
    void theSpareOfAnEvenNumberReplacesALostVoter() throws Exception {
        // Of four instances three must vote. If all four voted and the network split them into
        // halves, neither half would have a quorum, and routers would reject keys that no instance
        // can confirm. When a voter is lost for good, the fourth instance must replace it.
        try (ControlFleet fleet = new ControlFleet(mFolder, 4).seeds(3).startAll()) {
            ChangeSettingsReply first = change(fleet);
            await(fleet, s -> s.getVotersCount() == 3 && s.getLearnersCount() == 1);
            fleet.stop("c2");
            awaitVoterReplaced(fleet, "c4", "c2");
            assertThat(read(fleet).getPosition()).isEqualTo(first.getPosition());
        }
    }

    @Test
    void anInstanceWithoutDiskServesAndNeverVotes() throws Exception {
        // One of four instances has no disk. It must receive the accepted changes and serve them,
        // but never vote: a quorum that counts it would lose a change when the instance restarts.
        try (ControlFleet fleet = new ControlFleet(mFolder, 4).seeds(3)) {
            fleet.start("c1");
            fleet.start("c2");
            fleet.start("c3");
            fleet.startWithoutDisk("c4");
            ChangeSettingsReply first = change(fleet);
            awaitLearned(fleet, first);
            assertThat(voters(await(fleet, s -> s.getVotersCount() == 3)))
                    .doesNotContain(fleet.address("c4"));
            fleet.stop("c4");
            fleet.startWithoutDisk("c4");
            awaitLearned(fleet, first);
            assertThat(voters(await(fleet, s -> s.getVotersCount() == 3)))
                    .doesNotContain(fleet.address("c4"));
        }
    }

    private static void awaitLearned(ControlFleet fleet, ChangeSettingsReply change) {
        ReadSettingsRequest own = ReadSettingsRequest.getDefaultInstance();
        fleet.ask(
                "c4",
                s -> s.readSettings(own),
                r -> r.getCode() == 0 && r.getPosition() == change.getPosition());
    }

    @Test
    void aSeedWithoutDiskDoesNotBootstrap() throws Exception {
        // The seed whose name sorts first has no disk. The instances with disks must bootstrap the
        // log without it: if it voted, accepted changes would be lost when it and one other
        // instance restart or fail.
        try (ControlFleet fleet = new ControlFleet(mFolder, 3).seeds(3)) {
            String first = fleet.names().stream().min(comparing(fleet::address)).orElseThrow();
            for (String name : fleet.names()) {
                if (name.equals(first)) {
                    fleet.startWithoutDisk(name);
                } else {
                    fleet.start(name);
                }
            }
            assertThat(change(fleet).getCode()).isEqualTo(ResultCode.OK.number());
            assertThat(voters(await(fleet, s -> s.getVotersCount() == 2)))
                    .doesNotContain(fleet.address(first));
        }
    }

    @Test
    void twoOfSixDisksMayBeLostAtOnce() throws Exception {
        // Two of six instances lose their disks right after a change was accepted. The change must
        // survive, and five instances must vote again, none with a lost disk, so that two more
        // disks may be lost.
        try (ControlFleet fleet = new ControlFleet(mFolder, 6).seeds(3).startAll()) {
            await(fleet, s -> s.getVotersCount() == 5);
            ChangeSettingsReply first = change(fleet);
            ControlStatus before = await(fleet, s -> s.getVotersCount() == 5);
            fleet.stop("c1");
            fleet.stop("c2");
            fleet.mayBootstrap(false).start("c1", mFolder.resolve("c1-new"));
            fleet.start("c2", mFolder.resolve("c2-new"));
            await(
                    fleet,
                    s ->
                            s.getVotersCount() == 5
                                    && noneVotesWithOldDisk(s, before, "c1", "c2", fleet));
            fleet.stop("c3");
            fleet.stop("c4");
            assertThat(read(fleet).getPosition()).isEqualTo(first.getPosition());
        }
    }

    /** Returns whether neither of two instances votes with the disk that it had before. */
    private static boolean noneVotesWithOldDisk(
            ControlStatus now, ControlStatus before, String a, String b, ControlFleet fleet) {
        return before.getVotersList().stream()
                .filter(
                        v ->
                                v.getName().equals(fleet.address(a))
                                        || v.getName().equals(fleet.address(b)))
                .noneMatch(now.getVotersList()::contains);
    }

    @Test
    void anEmptyDiskNeverBootstrapsASecondLog() throws Exception {
        // An instance comes back with an empty disk while all others are down. If it bootstrapped a
        // log of its own, it would acknowledge changes that the others never receive.
        try (ControlFleet fleet = new ControlFleet(mFolder, 3).seeds(3).startAll()) {
            change(fleet);
            fleet.names().forEach(fleet::stop);
            fleet.mayBootstrap(false).start("c1", mFolder.resolve("c1-new"));
            ControlStatus alone =
                    fleet.stub("c1").status(StatusRequest.getDefaultInstance()).getControls(0);
            assertThat(alone.getVotersCount()).isZero();
            fleet.start("c2");
            fleet.start("c3");
            assertThat(read(fleet).getNodesCount()).isEqualTo(1);
        }
    }

    // Guards against an instance with a damaged log that ends at each start until an operator
    // replaces its disk.
    @Test
    void anInstanceWithADamagedLogBecomesAVoterAgain() throws Exception {
        try (ControlFleet fleet = new ControlFleet(mFolder, 3).seeds(3).startAll()) {
            ChangeSettingsReply first = change(fleet);
            ControlStatus before = await(fleet, s -> s.getVotersCount() == 3);
            fleet.stop("c1");
            damageLog(mFolder.resolve("c1"));
            fleet.start("c1");
            await(
                    fleet,
                    s ->
                            s.getVotersCount() == 3
                                    && noneVotesWithOldDisk(s, before, "c1", "c1", fleet));
            fleet.stop("c2");
            assertThat(read(fleet).getPosition()).isEqualTo(first.getPosition());
        }
    }

    // Guards against instances whose logs are all damaged and which bootstrap a second, empty log.
    @Test
    void instancesWithDamagedLogsDoNotBootstrapASecondLog() throws Exception {
        try (ControlFleet fleet = new ControlFleet(mFolder, 3).seeds(3).startAll()) {
            change(fleet);
            await(fleet, s -> s.getVotersCount() == 3);
            fleet.names().forEach(fleet::stop);
            for (String name : fleet.names()) {
                damageLog(mFolder.resolve(name));
            }
            fleet.startAll();
            fleet.names().forEach(fleet::stop);
            fleet.startAll();
            for (String name : fleet.names()) {
                ControlStatus alone =
                        fleet.stub(name).status(StatusRequest.getDefaultInstance()).getControls(0);
                assertThat(alone.getVotersCount()).isZero();
            }
        }
    }

    /** Flips a bit of the synced part of the log's first segment. */
    private static void damageLog(Path folder) throws IOException {
        Path segment = folder.resolve("log-0000000000000001");
        byte[] bytes = Files.readAllBytes(segment);
        bytes[20] ^= 1;
        Files.write(segment, bytes);
    }

    @Test
    void aLostDiskIsReplacedWithoutLosingAcceptedChanges() throws Exception {
        try (ControlFleet fleet = new ControlFleet(mFolder, 3).seeds(3).startAll()) {
            ChangeSettingsReply first = change(fleet);
            ControlStatus before = await(fleet, s -> s.getVotersCount() == 3);
            fleet.stop("c1");
            fleet.mayBootstrap(false).start("c1", mFolder.resolve("c1-new"));
            await(
                    fleet,
                    s ->
                            s.getVotersCount() == 3
                                    && !s.getVotersList().equals(before.getVotersList())
                                    && voters(s).contains(fleet.address("c1")));
            fleet.stop("c2");
            assertThat(read(fleet).getPosition()).isEqualTo(first.getPosition());
        }
    }

    @Test
    void anInstanceAtANewAddressReplacesALostVoter() throws Exception {
        // One of three instances is lost for good, and a new one with the same seeds starts at
        // another address. It must replace the lost voter: otherwise the loss of one more instance
        // would block all changes.
        try (ControlFleet fleet = new ControlFleet(mFolder, 4).seeds(3)) {
            fleet.start("c1");
            fleet.start("c2");
            fleet.start("c3");
            ChangeSettingsReply first = change(fleet);
            fleet.stop("c2");
            fleet.mayBootstrap(false).start("c4");
            awaitVoterReplaced(fleet, "c4", "c2");
            fleet.stop("c1");
            assertThat(read(fleet).getPosition()).isEqualTo(first.getPosition());
        }
    }
}
