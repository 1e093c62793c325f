package org.laurelweir.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.laurelweir.membership.SimulatedFleet.Sidecar;

/** Control instances that receive announcements late, twice or not at all. */
class SharedMembershipTest {
    private static final int CONTROLS = 3;
    private static final int SIDECARS = 6;
    private static final int FLAPS_WITHOUT_HOLD = 1000;

    // Sidecars move between control instances, drain, die and restart while control instances
    // restart and exchange updates in random order or not at all. After all have exchanged updates
    // again, every instance has exactly the living sidecars in their newest state.
    @Property(tries = 300, seed = "1401")
    void everyInterleavingConverges(@ForAll long seed) {
        SimulatedFleet fleet = new SimulatedFleet(CONTROLS, SIDECARS, FLAPS_WITHOUT_HOLD);
        Random random = new Random(seed);
        for (int i = 0; i < 200; i++) {
            performRandomStep(fleet, random, i);
        }
        fleet.settle();
        TreeMap<String, Backend> living = new TreeMap<>();
        fleet.mSidecars.stream()
                .filter(s -> s.mIsAlive)
                .forEach(s -> living.put(s.mId, s.backend()));
        for (int c = 0; c < CONTROLS; c++) {
            assertThat(fleet.view(c)).isEqualTo(living);
        }
    }

    private static void performRandomStep(SimulatedFleet fleet, Random random, int step) {
        Sidecar s = fleet.mSidecars.get(random.nextInt(SIDECARS));
        int control = random.nextInt(CONTROLS);
        switch (random.nextInt(12)) {
            case 0 -> s.moveTo(control);
            case 1 -> s.mIsAlive = false;
            case 2 -> s.restart();
            case 3 -> s.mState = Backend.State.DRAINING;
            case 4 -> fleet.advanceTime(Duration.ofMillis(random.nextInt(4000)));
            case 5 -> {
                if (random.nextInt(10) == 0) {
                    fleet.restartControl(control, step + 2);
                }
            }
            case 6, 7, 8 -> fleet.deliverUpdate(random.nextInt(CONTROLS), control);
            default -> {
                if (s.mIsAlive) {
                    s.report();
                }
            }
        }
    }

    // A reader polls one instance. A backend server that the reader received as left never returns
    // with the same incarnation and session.
    @Property(tries = 300, seed = "1402")
    void departedBackendDoesNotReturnUnchanged(@ForAll long seed) {
        SimulatedFleet fleet = new SimulatedFleet(CONTROLS, SIDECARS, FLAPS_WITHOUT_HOLD);
        Random random = new Random(seed);
        MembershipCursor cursor = MembershipCursor.NONE;
        Map<String, Backend> received = new HashMap<>();
        for (int i = 0; i < 300; i++) {
            performRandomStep(fleet, random, i);
            MembershipDelta delta = fleet.mControls.get(0).deltaSince(cursor, null);
            if (delta.full()) {
                received.clear();
            }
            for (Backend b : delta.backends()) {
                Backend previous = received.put(b.ref().id(), b);
                assertThat(previous == null || b.supersedes(previous)).isTrue();
            }
            cursor = delta.cursor();
        }
    }

    // A sidecar's exchanges stop. After three seconds its control instance announces that it left.
    // A peer, to which the sidecar did not report, announces nothing and learns it by an update.
    @Test
    void silentSidecarTimesOutAtItsControlInstance() {
        SimulatedFleet fleet = new SimulatedFleet(2, 1, FLAPS_WITHOUT_HOLD);
        fleet.mSidecars.get(0).report();
        fleet.deliverUpdate(0, 1);
        fleet.advanceTime(Duration.ofSeconds(4));
        assertThat(fleet.view(0)).isEmpty();
        assertThat(fleet.view(1)).containsKey("w0");
        fleet.deliverUpdate(0, 1);
        assertThat(fleet.view(1)).isEmpty();
    }

    // A control instance's process is paused for a minute. When it resumes, every sidecar seems to
    // have been silent. None may be announced as left before it has had time to report.
    @Test
    void pauseOfControlInstanceRemovesNoSidecar() {
        SimulatedFleet fleet = new SimulatedFleet(1, 3, FLAPS_WITHOUT_HOLD);
        fleet.mSidecars.forEach(Sidecar::report);
        fleet.advanceTime(Duration.ofSeconds(1));
        fleet.mControls.get(0).tick(fleet.now().plusSeconds(60));
        assertThat(fleet.view(0)).hasSize(3);
    }

    // A control instance and a sidecar that reports to it die together, so no instance detects that
    // the sidecar timed out. The other instances remove it a minute later if a majority of the
    // control instances is connected.
    @Test
    void sidecarLostWithItsControlInstanceIsRemoved() {
        SimulatedFleet fleet = new SimulatedFleet(3, 1, FLAPS_WITHOUT_HOLD);
        fleet.mSidecars.get(0).report();
        fleet.exchangeUpdates();
        for (int i = 0; i < 65; i++) {
            fleet.advanceTime(Duration.ofSeconds(1));
            fleet.deliverUpdate(1, 2);
            fleet.deliverUpdate(2, 1);
        }
        assertThat(fleet.view(1)).isEmpty();
    }

    // One instance is cut off from both others. It can't determine whether they are lost or whether
    // it is isolated, so it keeps the backend servers that it last received from them.
    @Test
    void isolatedInstanceRemovesNoSidecar() {
        SimulatedFleet fleet = new SimulatedFleet(3, 1, FLAPS_WITHOUT_HOLD);
        fleet.mSidecars.get(0).report();
        fleet.exchangeUpdates();
        fleet.advanceTime(Duration.ofMinutes(5));
        assertThat(fleet.view(1)).containsKey("w0");
    }

    // A control instance is cut off from the others for over a minute, and its sidecar continues to
    // report to it. The other instances remove the sidecar. After the partition, the instance's own
    // readers must not see the sidecar leave, and the other instances must add it again. To this
    // end, the sidecar starts a new session, which supersedes the departure on all instances.
    @Test
    void sidecarRemovedDuringPartitionReturnsWithNewSession() {
        SimulatedFleet fleet = new SimulatedFleet(3, 1, FLAPS_WITHOUT_HOLD);
        Sidecar sidecar = fleet.mSidecars.get(0);
        sidecar.report();
        fleet.exchangeUpdates();
        for (int i = 0; i < 65; i++) {
            fleet.advanceTime(Duration.ofSeconds(1));
            sidecar.report();
            fleet.deliverUpdate(1, 2);
            fleet.deliverUpdate(2, 1);
        }
        assertThat(fleet.view(1)).isEmpty();
        fleet.exchangeUpdates();
        assertThat(fleet.view(0)).containsKey("w0");
        sidecar.report();
        sidecar.report();
        fleet.exchangeUpdates();
        assertThat(sidecar.mSession).isEqualTo(2);
        for (int c = 0; c < CONTROLS; c++) {
            assertThat(fleet.view(c)).containsEntry("w0", sidecar.backend());
        }
    }

    // A backend server crashes in a loop. After three departures its return is held back, so that
    // chats do not move to it and away again. It is announced once it stays up.
    @Test
    void flappingBackendServerIsHeldBack() {
        SimulatedFleet fleet = new SimulatedFleet(1, 3, 3);
        fleet.mSidecars.forEach(Sidecar::report);
        Sidecar flapping = fleet.mSidecars.get(0);
        for (int i = 0; i < 4; i++) {
            flapping.restart();
            reportAll(fleet);
        }
        assertThat(fleet.view(0)).doesNotContainKey("w0").hasSize(2);
        for (int i = 0; i < 12; i++) {
            reportAll(fleet);
        }
        assertThat(fleet.view(0)).containsKey("w0");
    }

    private static void reportAll(SimulatedFleet fleet) {
        fleet.mSidecars.forEach(Sidecar::report);
        fleet.advanceTime(Duration.ofSeconds(1));
    }

    @Test
    void loadIsTheMeanOverAllInstances() {
        SimulatedFleet fleet = new SimulatedFleet(2, 2, FLAPS_WITHOUT_HOLD);
        fleet.mSidecars.get(1).mControl = 1;
        fleet.mSidecars.forEach(Sidecar::report);
        fleet.exchangeUpdates();
        ServiceLoad load = fleet.mControls.get(0).load(SimulatedFleet.SERVICE);
        assertThat(load).isEqualTo(new ServiceLoad(SimulatedFleet.SERVICE, 1, 2));
    }
}
