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

/** What control instances make of announcements that reach them late, twice or not at all. */
class SharedMembershipTest {
    private static final int CONTROLS = 3;
    private static final int SIDECARS = 6;
    private static final int NEVER_HELD = 1000;

    // Sidecars move between control instances, drain, die and come back while instances share with
    // each other in any order or not at all, and are started anew. Once all talk again, every
    // instance shows exactly the sidecars that live, in their newest state.
    @Property(tries = 300, seed = "1401")
    void everyInterleavingConverges(@ForAll long seed) {
        SimulatedFleet fleet = new SimulatedFleet(CONTROLS, SIDECARS, NEVER_HELD);
        Random random = new Random(seed);
        for (int i = 0; i < 200; i++) {
            act(fleet, random, i);
        }
        fleet.settle();
        TreeMap<String, Backend> living = new TreeMap<>();
        fleet.mSidecars.stream().filter(s -> s.mAlive).forEach(s -> living.put(s.mId, s.backend()));
        for (int c = 0; c < CONTROLS; c++) {
            assertThat(fleet.view(c)).isEqualTo(living);
        }
    }

    private static void act(SimulatedFleet fleet, Random random, int step) {
        Sidecar s = fleet.mSidecars.get(random.nextInt(SIDECARS));
        int control = random.nextInt(CONTROLS);
        switch (random.nextInt(12)) {
            case 0 -> s.moveTo(control);
            case 1 -> s.mAlive = false;
            case 2 -> s.restart();
            case 3 -> s.mState = Backend.State.DRAINING;
            case 4 -> fleet.pass(Duration.ofMillis(random.nextInt(4000)));
            case 5 -> {
                if (random.nextInt(10) == 0) {
                    fleet.restartControl(control, step + 2);
                }
            }
            case 6, 7, 8 -> fleet.share(random.nextInt(CONTROLS), control);
            default -> {
                if (s.mAlive) {
                    s.report();
                }
            }
        }
    }

    // A reader asks one instance again and again. Whatever it was told to have left is never told
    // to be back under the same run and session of its sidecar.
    @Property(tries = 300, seed = "1402")
    void nothingThatLeftComesBackUnchanged(@ForAll long seed) {
        SimulatedFleet fleet = new SimulatedFleet(CONTROLS, SIDECARS, NEVER_HELD);
        Random random = new Random(seed);
        MembershipCursor cursor = MembershipCursor.NONE;
        Map<String, Backend> told = new HashMap<>();
        for (int i = 0; i < 300; i++) {
            act(fleet, random, i);
            MembershipDelta delta = fleet.mControls.get(0).deltaSince(cursor, null);
            if (delta.full()) {
                told.clear();
            }
            for (Backend b : delta.backends()) {
                Backend before = told.put(b.ref().id(), b);
                assertThat(before == null || b.supersedes(before)).isTrue();
            }
            cursor = delta.cursor();
        }
    }

    // A sidecar's exchanges stop. Its control instance announces after three seconds that it left;
    // a peer, which never heard it, says nothing of itself and learns it from there.
    @Test
    void silentSidecarIsMissedByTheInstanceThatHeardIt() {
        SimulatedFleet fleet = new SimulatedFleet(2, 1, NEVER_HELD);
        fleet.mSidecars.get(0).report();
        fleet.share(0, 1);
        fleet.pass(Duration.ofSeconds(4));
        assertThat(fleet.view(0)).isEmpty();
        assertThat(fleet.view(1)).containsKey("w0");
        fleet.share(0, 1);
        assertThat(fleet.view(1)).isEmpty();
    }

    // The process of a control instance stands still for a minute. When it goes on, every sidecar
    // seems to have been silent; none may be announced as gone before it had time to speak.
    @Test
    void pauseOfControlMakesNobodyLeave() {
        SimulatedFleet fleet = new SimulatedFleet(1, 3, NEVER_HELD);
        fleet.mSidecars.forEach(Sidecar::report);
        fleet.pass(Duration.ofSeconds(1));
        fleet.mControls.get(0).tick(fleet.now().plusSeconds(60));
        assertThat(fleet.view(0)).hasSize(3);
    }

    // A control instance and the sidecar beside it die together, so nobody is left to miss the
    // sidecar. The others give it up a minute later, as long as most instances are in contact.
    @Test
    void sidecarLostWithItsControlInstanceIsGivenUp() {
        SimulatedFleet fleet = new SimulatedFleet(3, 1, NEVER_HELD);
        fleet.mSidecars.get(0).report();
        fleet.shareAll();
        for (int i = 0; i < 65; i++) {
            fleet.pass(Duration.ofSeconds(1));
            fleet.share(1, 2);
            fleet.share(2, 1);
        }
        assertThat(fleet.view(1)).isEmpty();
    }

    // One instance is cut off from both others. It can't tell whether they or it are gone, so it
    // goes on serving what it last heard of them.
    @Test
    void instanceThatIsCutOffDeclaresNobodyGone() {
        SimulatedFleet fleet = new SimulatedFleet(3, 1, NEVER_HELD);
        fleet.mSidecars.get(0).report();
        fleet.shareAll();
        fleet.pass(Duration.ofMinutes(5));
        assertThat(fleet.view(1)).containsKey("w0");
    }

    // A control instance is cut off from the others for over a minute and goes on hearing its
    // sidecar, which the others give up. After that its own readers must not see the sidecar leave,
    // and the others must have it back: it is asked for a new session, which wins everywhere.
    @Test
    void sidecarGivenUpBeyondPartitionComesBackUnderNewSession() {
        SimulatedFleet fleet = new SimulatedFleet(3, 1, NEVER_HELD);
        Sidecar sidecar = fleet.mSidecars.get(0);
        sidecar.report();
        fleet.shareAll();
        for (int i = 0; i < 65; i++) {
            fleet.pass(Duration.ofSeconds(1));
            sidecar.report();
            fleet.share(1, 2);
            fleet.share(2, 1);
        }
        assertThat(fleet.view(1)).isEmpty();
        fleet.shareAll();
        assertThat(fleet.view(0)).containsKey("w0");
        sidecar.report();
        sidecar.report();
        fleet.shareAll();
        assertThat(sidecar.mSession).isEqualTo(2);
        for (int c = 0; c < CONTROLS; c++) {
            assertThat(fleet.view(c)).containsEntry("w0", sidecar.backend());
        }
    }

    // A backend server crashes in a loop. After three departures its return is held back, so that
    // chats do not move to it and off again; once it stays, it is announced.
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
        fleet.pass(Duration.ofSeconds(1));
    }

    @Test
    void meanIsOverAllInstances() {
        SimulatedFleet fleet = new SimulatedFleet(2, 2, NEVER_HELD);
        fleet.mSidecars.get(1).mControl = 1;
        fleet.mSidecars.forEach(Sidecar::report);
        fleet.shareAll();
        ServiceLoad load = fleet.mControls.get(0).load(SimulatedFleet.SERVICE);
        assertThat(load).isEqualTo(new ServiceLoad(SimulatedFleet.SERVICE, 1, 2));
    }
}
