package org.laurelweir.packaging;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.laurelweir.junit.Await;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.packaging.fleet.Caller;
import org.laurelweir.packaging.fleet.Fleet;
import org.laurelweir.packaging.fleet.FleetProcess;
import org.laurelweir.packaging.fleet.GenerationWatch;
import org.laurelweir.pgm.fleet.ControlClient;
import org.laurelweir.wire.v1.ChangeSettingsReply;
import org.laurelweir.wire.v1.ChangeSettingsRequest;
import org.laurelweir.wire.v1.NodeChange;

/** Accepted settings under kills and freezes: in force on every router, and never back. */
class AcceptedSettingsTest {
    private static final String NODE = "/service=generations";
    private static final int MANY = 200;
    private static final int RACES = 20;

    private static Fleet sFleet;
    private static List<FleetProcess> sRouters;
    private static GenerationWatch sWatch;
    private static int sGeneration;

    @BeforeAll
    static void startFleet() {
        String node = NODE + ":\n  service.models: " + GenerationWatch.MODEL + "0";
        sFleet = Fleet.builder("settings").controls(3).routers(2).tree(node).start();
        sFleet.awaitReady();
        sRouters = List.of(sFleet.process("router-1"), sFleet.process("router-2"));
        sWatch = new GenerationWatch(sRouters);
    }

    @AfterEach
    void assertNoRouterWentBack() {
        sWatch.await(sGeneration, sRouters);
        assertThat(sWatch.fault()).isEmpty();
    }

    @AfterAll
    static void stopFleet() {
        sWatch.close();
        sFleet.close();
    }

    /**
     * The operator has the answer "accepted", and the leader that gave it is killed at once. The
     * change stood on a majority's disks before the answer, so the next leader has it, and every
     * router comes to it.
     */
    @Test
    void changeOutlivesTheLeaderThatAcceptedIt() {
        FleetProcess leader = sFleet.leader();
        change();
        leader.kill();
        sWatch.await(sGeneration, sRouters);
        leader.start();
        sFleet.awaitReady(leader);
    }

    /**
     * A router is away for two hundred changes, and the control instance that it asks first has
     * stood still for them. It must come up with the newest settings, not with that instance's.
     */
    @Test
    void restartedRouterFindsNewestBesideStaleInstance() {
        FleetProcess nearest = sFleet.process("control-1");
        FleetProcess router = sRouters.get(0);
        router.kill();
        nearest.freeze();
        for (int i = 0; i < MANY; i++) {
            change();
        }
        router.start();
        sWatch.await(sGeneration, sRouters);
        nearest.resume();
        change();
        sFleet.awaitReady(nearest);
    }

    /** Two operators change a node under one version: one wins, the other is told who did. */
    @Test
    void operatorsRacingUnderOneVersionHaveOneWinner() {
        ControlClient other = sFleet.newOperator();
        for (int i = 0; i < RACES; i++) {
            ChangeSettingsRequest mine = request("race-a-" + i, ++sGeneration);
            ChangeSettingsRequest others = mine.toBuilder().setChangeId("race-b-" + i).build();
            CompletableFuture<ChangeSettingsReply> first =
                    CompletableFuture.supplyAsync(() -> sFleet.control().changeSettings(mine));
            CompletableFuture<ChangeSettingsReply> second =
                    CompletableFuture.supplyAsync(() -> other.changeSettings(others));
            assertThat(List.of(Caller.get(first).getCode(), Caller.get(second).getCode()))
                    .containsExactlyInAnyOrder(
                            ResultCode.OK.number(), ResultCode.SETTINGS_CONFLICT.number());
        }
    }

    /**
     * An operator lost the answer and sends the change again, after other changes and to another
     * leader. It gets the first answer and changes nothing: made twice, it would undo the others.
     */
    @Test
    void resentChangeGetsItsFirstAnswer() {
        ChangeSettingsRequest request = request("lost-answer", ++sGeneration);
        ChangeSettingsReply first = sFleet.control().changeSettings(request);
        assertThat(first.getCode()).isZero();
        change();
        FleetProcess leader = sFleet.leader();
        leader.kill();
        ChangeSettingsReply again = sFleet.control().changeSettings(request);
        assertThat(again.getCode()).isZero();
        assertThat(again.getPosition()).isEqualTo(first.getPosition());
        leader.start();
        sFleet.awaitReady(leader);
    }

    private static void change() {
        int generation = ++sGeneration;
        ChangeSettingsRequest request = request("change-" + generation, generation);
        Await.until(
                "an accepted change",
                () -> sFleet.control().changeSettings(request).getCode() == 0);
    }

    private static ChangeSettingsRequest request(String id, int generation) {
        long version = sFleet.control().readSettings(NODE, 0).getNodes(0).getVersion();
        NodeChange change =
                NodeChange.newBuilder()
                        .setPath(NODE)
                        .setExpectedVersion(version)
                        .putSet("service.models", GenerationWatch.MODEL + generation)
                        .build();
        return ChangeSettingsRequest.newBuilder()
                .setChangeId(id)
                .setAuthor("proofs")
                .addChanges(change)
                .build();
    }
}
