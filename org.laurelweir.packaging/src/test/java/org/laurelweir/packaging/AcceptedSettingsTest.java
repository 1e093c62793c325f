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
import org.laurelweir.packaging.fleet.SettingsMonitor;
import org.laurelweir.pgm.fleet.ControlClient;
import org.laurelweir.wire.v1.ChangeSettingsReply;
import org.laurelweir.wire.v1.ChangeSettingsRequest;
import org.laurelweir.wire.v1.NodeChange;

/**
 * Checks that an accepted settings change reaches every router while processes are killed or
 * frozen, and that no router returns to an older settings tree.
 */
class AcceptedSettingsTest {
    private static final String NODE = "/service=generations";
    private static final int CHANGES_WHILE_DOWN = 200;
    private static final int RACE_COUNT = 20;

    private static Fleet sFleet;
    private static List<FleetProcess> sRouters;
    private static SettingsMonitor sMonitor;
    private static int sGeneration;

    @BeforeAll
    static void startFleet() {
        String node = NODE + ":\n  service.models: " + SettingsMonitor.MODEL_PREFIX + "0";
        sFleet = Fleet.builder("settings").controls(3).routers(2).tree(node).start();
        sFleet.awaitReady();
        sRouters = List.of(sFleet.process("router-1"), sFleet.process("router-2"));
        sMonitor = new SettingsMonitor(sRouters);
    }

    @AfterEach
    void assertNoRouterRegressed() {
        sMonitor.await(sGeneration, sRouters);
        assertThat(sMonitor.regression()).isEmpty();
    }

    @AfterAll
    static void stopFleet() {
        sMonitor.close();
        sFleet.close();
    }

    /**
     * The leader is killed right after it answers that a change is accepted. A majority has the
     * change on disk before that answer, so the next leader has it and every router applies it.
     */
    @Test
    void acceptedChangeSurvivesKilledLeader() {
        FleetProcess leader = sFleet.leader();
        commitChange();
        leader.kill();
        sMonitor.await(sGeneration, sRouters);
        leader.start();
        sFleet.awaitReady(leader);
    }

    /**
     * A router is down during 200 changes, and the control instance that it asks first is frozen
     * during them. The restarted router must apply the newest settings, not the older ones of that
     * instance.
     */
    @Test
    void restartedRouterAppliesNewestSettingsDespiteStaleInstance() {
        FleetProcess staleControl = sFleet.process("control-1");
        FleetProcess router = sRouters.get(0);
        router.kill();
        staleControl.freeze();
        for (int i = 0; i < CHANGES_WHILE_DOWN; i++) {
            commitChange();
        }
        router.start();
        sMonitor.await(sGeneration, sRouters);
        staleControl.resume();
        commitChange();
        sFleet.awaitReady(staleControl);
    }

    /**
     * Two operators change one node and expect the same version. One change is accepted; the other
     * gets a settings conflict.
     */
    @Test
    void concurrentChangesOfOneVersionHaveOneWinner() {
        ControlClient otherOperator = sFleet.newOperator();
        for (int i = 0; i < RACE_COUNT; i++) {
            ChangeSettingsRequest firstRequest = changeRequest("race-a-" + i, ++sGeneration);
            ChangeSettingsRequest secondRequest =
                    firstRequest.toBuilder().setChangeId("race-b-" + i).build();
            CompletableFuture<ChangeSettingsReply> first =
                    CompletableFuture.supplyAsync(
                            () -> sFleet.control().changeSettings(firstRequest));
            CompletableFuture<ChangeSettingsReply> second =
                    CompletableFuture.supplyAsync(
                            () -> otherOperator.changeSettings(secondRequest));
            assertThat(List.of(Caller.await(first).getCode(), Caller.await(second).getCode()))
                    .containsExactlyInAnyOrder(
                            ResultCode.OK.number(), ResultCode.SETTINGS_CONFLICT.number());
        }
    }

    /**
     * An operator does not receive the answer to a change and sends it again, after another change
     * and to another leader. The operator gets the first answer and nothing changes: applying the
     * change twice would undo the later one.
     */
    @Test
    void resentChangeGetsFirstAnswer() {
        ChangeSettingsRequest request = changeRequest("lost-answer", ++sGeneration);
        ChangeSettingsReply first = sFleet.control().changeSettings(request);
        assertThat(first.getCode()).isZero();
        commitChange();
        FleetProcess leader = sFleet.leader();
        leader.kill();
        ChangeSettingsReply again = sFleet.control().changeSettings(request);
        assertThat(again.getCode()).isZero();
        assertThat(again.getPosition()).isEqualTo(first.getPosition());
        leader.start();
        sFleet.awaitReady(leader);
    }

    private static void commitChange() {
        int generation = ++sGeneration;
        ChangeSettingsRequest request = changeRequest("change-" + generation, generation);
        Await.until(
                "control accepts a change",
                () -> sFleet.control().changeSettings(request).getCode() == 0);
    }

    private static ChangeSettingsRequest changeRequest(String id, int generation) {
        long version = sFleet.control().readSettings(NODE, 0).getNodes(0).getVersion();
        NodeChange change =
                NodeChange.newBuilder()
                        .setPath(NODE)
                        .setExpectedVersion(version)
                        .putSet("service.models", SettingsMonitor.MODEL_PREFIX + generation)
                        .build();
        return ChangeSettingsRequest.newBuilder()
                .setChangeId(id)
                .setAuthor("proofs")
                .addChanges(change)
                .build();
    }
}
