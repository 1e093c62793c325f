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

/** A core whose instances know a few seeds and find, replace and count each other by themselves. */
class OpenCoreTest {
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
                r -> !ControlFleet.isElsewhere(r.getCode()));
    }

    private static ReadSettingsReply read(ControlFleet fleet) {
        return fleet.ask(s -> s.readSettings(LINEARIZABLE), r -> r.getCode() == 0);
    }

    /** Waits until three vote, one instance among them, and another one does not any more. */
    private static void awaitInPlaceOf(ControlFleet fleet, String voter, String gone) {
        ControlStatus after =
                await(
                        fleet,
                        s -> s.getVotersCount() == 3 && voters(s).contains(fleet.address(voter)));
        assertThat(voters(after)).doesNotContain(fleet.address(gone));
    }

    @Test
    void instancesThatNoSeedNamesJoin() throws Exception {
        // Five instances start with empty disks and know three of them. One core comes of it, in
        // which all five vote.
        try (ControlFleet fleet = new ControlFleet(mFolder, 5).seeds(3).startAll()) {
            assertThat(change(fleet).getCode()).isEqualTo(ResultCode.OK.number());
            ControlStatus status = await(fleet, s -> s.getVotersCount() == 5);
            assertThat(voters(status))
                    .containsExactlyInAnyOrderElementsOf(
                            fleet.names().stream().map(fleet::address).toList());
        }
    }

    @Test
    void ofAnEvenNumberOneIsLeftOverAndTakesTheNextPlace() throws Exception {
        // Four instances: three vote. Were all four to vote and the core cut into halves, neither
        // side had a quorum, and routers would refuse keys that nobody can confirm. A voter that
        // is gone for good leaves its place to the fourth.
        try (ControlFleet fleet = new ControlFleet(mFolder, 4).seeds(3).startAll()) {
            ChangeSettingsReply first = change(fleet);
            await(fleet, s -> s.getVotersCount() == 3 && s.getLearnersCount() == 1);
            fleet.stop("c2");
            awaitInPlaceOf(fleet, "c4", "c2");
            assertThat(read(fleet).getPosition()).isEqualTo(first.getPosition());
        }
    }

    @Test
    void anInstanceWithoutDiskServesAndNeverVotes() throws Exception {
        // One of four instances has no disk. It comes to know what was accepted and answers for it.
        // Given a vote, a quorum that counts it would forget a change with its next restart.
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
    void aSeedWithoutDiskLeavesTheFirstCoreToTheOthers() throws Exception {
        // The seed whose name sorts first has no disk. The core is made by those that have one;
        // made with it, what is accepted would be gone with its restart and one of the others.
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
    void twoDisksOfSixMayBeLostAtOnce() throws Exception {
        // Two of six instances lose their disks right after a change was accepted. It is still
        // there, and five vote again, none of them with a disk that is gone, so that two more may
        // be lost.
        try (ControlFleet fleet = new ControlFleet(mFolder, 6).seeds(3).startAll()) {
            await(fleet, s -> s.getVotersCount() == 5);
            ChangeSettingsReply first = change(fleet);
            ControlStatus before = await(fleet, s -> s.getVotersCount() == 5);
            fleet.stop("c1");
            fleet.stop("c2");
            fleet.founding(false).start("c1", mFolder.resolve("c1-new"));
            fleet.start("c2", mFolder.resolve("c2-new"));
            await(
                    fleet,
                    s -> s.getVotersCount() == 5 && isWithoutAny(s, before, "c1", "c2", fleet));
            fleet.stop("c3");
            fleet.stop("c4");
            assertThat(read(fleet).getPosition()).isEqualTo(first.getPosition());
        }
    }

    /** Returns whether none of the named instances votes under the disk that it had before. */
    private static boolean isWithoutAny(
            ControlStatus now, ControlStatus before, String a, String b, ControlFleet fleet) {
        return before.getVotersList().stream()
                .filter(
                        v ->
                                v.getName().equals(fleet.address(a))
                                        || v.getName().equals(fleet.address(b)))
                .noneMatch(now.getVotersList()::contains);
    }

    @Test
    void anEmptyDiskNeverFoundsASecondCore() throws Exception {
        // All but one instance of a deployment are away as one comes back with an empty disk.
        // Making
        // a core of its own, it would acknowledge changes that the others never learn of.
        try (ControlFleet fleet = new ControlFleet(mFolder, 3).seeds(3).startAll()) {
            change(fleet);
            fleet.names().forEach(fleet::stop);
            fleet.founding(false).start("c1", mFolder.resolve("c1-new"));
            ControlStatus alone =
                    fleet.stub("c1").status(StatusRequest.getDefaultInstance()).getControls(0);
            assertThat(alone.getVotersCount()).isZero();
            fleet.start("c2");
            fleet.start("c3");
            assertThat(read(fleet).getNodesCount()).isEqualTo(1);
        }
    }

    // An instance whose log was damaged ended at each start, until an operator replaced its disk.
    @Test
    void anInstanceWithADamagedLogComesBackAndVotesAnew() throws Exception {
        try (ControlFleet fleet = new ControlFleet(mFolder, 3).seeds(3).startAll()) {
            ChangeSettingsReply first = change(fleet);
            ControlStatus before = await(fleet, s -> s.getVotersCount() == 3);
            fleet.stop("c1");
            damageLog(mFolder.resolve("c1"));
            fleet.start("c1");
            await(
                    fleet,
                    s -> s.getVotersCount() == 3 && isWithoutAny(s, before, "c1", "c1", fleet));
            fleet.stop("c2");
            assertThat(read(fleet).getPosition()).isEqualTo(first.getPosition());
        }
    }

    // Instances whose logs were all damaged founded a second core, which had forgotten everything.
    @Test
    void instancesWithDamagedLogsFoundNoSecondCore() throws Exception {
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

    /** Flips a bit of what was synced, in the log's first segment. */
    private static void damageLog(Path folder) throws IOException {
        Path segment = folder.resolve("log-0000000000000001");
        byte[] bytes = Files.readAllBytes(segment);
        bytes[20] ^= 1;
        Files.write(segment, bytes);
    }

    @Test
    void aLostDiskIsReplacedAndNothingAcceptedIsLost() throws Exception {
        try (ControlFleet fleet = new ControlFleet(mFolder, 3).seeds(3).startAll()) {
            ChangeSettingsReply first = change(fleet);
            ControlStatus before = await(fleet, s -> s.getVotersCount() == 3);
            fleet.stop("c1");
            fleet.founding(false).start("c1", mFolder.resolve("c1-new"));
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
    void anInstanceAtAnotherAddressTakesAPlaceThatIsLeftForGood() throws Exception {
        // One of three is gone for good and a new one starts elsewhere, knowing the old seeds. Were
        // the old one counted on, the next loss would stop all changes.
        try (ControlFleet fleet = new ControlFleet(mFolder, 4).seeds(3)) {
            fleet.start("c1");
            fleet.start("c2");
            fleet.start("c3");
            ChangeSettingsReply first = change(fleet);
            fleet.stop("c2");
            fleet.founding(false).start("c4");
            awaitInPlaceOf(fleet, "c4", "c2");
            fleet.stop("c1");
            assertThat(read(fleet).getPosition()).isEqualTo(first.getPosition());
        }
    }
}
