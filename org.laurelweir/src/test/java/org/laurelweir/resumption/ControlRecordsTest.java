package org.laurelweir.resumption;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.laurelweir.coordination.ControlEffect;
import org.laurelweir.coordination.ControlEvent;
import org.laurelweir.fleet.FleetControls;
import org.laurelweir.fleet.VirtualTime;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;

/** Tests what control instances keep and tell of streams. */
class ControlRecordsTest {
    private static final int CONTROLS = 3;
    private static final long STREAM = 99;
    private static final Duration WINDOW = Duration.ofSeconds(30);
    private static final StreamOrigin V1 = new StreamOrigin("s", "v1");
    private static final BackendRef FIRST_RUN = new BackendRef("w", 1);
    private static final BackendRef SECOND_RUN = new BackendRef("w", 2);

    private final VirtualTime mTime = new VirtualTime(7);
    private final FleetControls mControls = new FleetControls(mTime, CONTROLS);

    private void announce(int control, BackendRef ref, String version, int number) {
        Backend b =
                new Backend(ref, "s", "dc", "", "1.2.3.4:80", Backend.State.SERVING, 6, number)
                        .withVersion(version);
        mControls.call(control, c -> new ControlEvent.BackendAnnounced(c, b), a -> {});
        mTime.advance(20);
    }

    private Optional<BackendRun> record(int control, BackendRef server) {
        List<ControlEffect.Answer> answers = new ArrayList<>();
        mControls.call(
                control,
                c -> new ControlEvent.StreamOriginRecorded(c, STREAM, V1, server, WINDOW),
                answers::add);
        mTime.advance(20);
        return ((ControlEffect.AnswerStreamRecorded) answers.get(0)).laterRun();
    }

    private OriginReport find(int control) {
        List<ControlEffect.Answer> answers = new ArrayList<>();
        mControls.call(
                control,
                c -> new ControlEvent.StreamOriginRequested(c, STREAM, "s", WINDOW),
                answers::add);
        mTime.advance(20);
        return ((ControlEffect.AnswerStreamOrigin) answers.get(0)).report();
    }

    @Test
    void recordIsToldByTheInstanceThatHasIt() {
        announce(0, FIRST_RUN, "v1", 1);
        assertThat(record(0, FIRST_RUN)).isEmpty();
        assertThat(find(0).origin()).contains(V1);
        assertThat(find(1).origin()).isEmpty();
        mTime.advance(WINDOW.toMillis());
        assertThat(find(0).origin()).isEmpty();
    }

    // Guards against a stream that is recorded under the version that its server had before.
    @Test
    void recordOfAnEarlierRunIsRefused() {
        announce(0, FIRST_RUN, "v1", 1);
        announce(0, SECOND_RUN, "v2", 1);
        assertThat(record(0, FIRST_RUN)).contains(new BackendRun(SECOND_RUN, "v2"));
        assertThat(find(0).origin()).isEmpty();
        assertThat(record(0, SECOND_RUN)).isEmpty();
    }

    // Guards against instances that learn of the later run only with the next update of a peer.
    @Test
    void laterRunIsToldToAllInstancesAtOnce() {
        announce(0, FIRST_RUN, "v1", 1);
        mTime.advance(3000);
        announce(0, SECOND_RUN, "v2", 1);
        for (int control = 0; control < CONTROLS; control++) {
            assertThat(record(control, FIRST_RUN)).isPresent();
        }
    }

    @Test
    void versionsOfAllInstancesAreTold() {
        announce(0, FIRST_RUN, "v1", 1);
        announce(1, new BackendRef("w2", 1), "v2", 1);
        mTime.advance(3000);
        for (int control = 0; control < CONTROLS; control++) {
            assertThat(find(control).versions()).contains("v1", "v2");
            assertThat(find(control).controls()).containsExactlyInAnyOrder("c0", "c1", "c2");
        }
    }

    // Guards against an instance that has just started and passes for one that knows all versions.
    @Test
    void restartedInstanceTellsHowLittleItKnows() {
        mTime.advance(60_000);
        assertThat(find(0).knownFor()).isGreaterThan(WINDOW);
        mControls.stop(0);
        mTime.advance(1000);
        mControls.start(0);
        assertThat(find(0).knownFor()).isLessThan(Duration.ofSeconds(1));
    }
}
