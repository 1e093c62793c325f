package org.laurelweir.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.coordination.ControlEvent.BackendAnnounced;
import org.laurelweir.coordination.ControlEvent.BackendWithdrawn;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;

/** Tests when a control instance acknowledges that a backend server is draining or has left. */
class AcknowledgedDepartureTest {
    private static final ReplicaId SECOND = new ReplicaId("c2", 2);
    private static final ReplicaId THIRD = new ReplicaId("c3", 3);
    private static final BackendRef SERVER = new BackendRef("w", 0);

    private final ControlAmongVoters mControl =
            new ControlAmongVoters(
                    List.of(ControlAmongVoters.SELF, SECOND, THIRD), OptionalInt.empty());
    private long mCall;

    @BeforeEach
    void lead() {
        mControl.run(Duration.ofSeconds(3));
        announce(Backend.State.SERVING, 1);
        assertThat(mControl.answers()).hasSize(1);
    }

    private void announce(Backend.State state, int number) {
        Backend b = new Backend(SERVER, "s", "dc", "", "1.2.3.4:80", state, 6, number);
        mControl.receive(new BackendAnnounced(++mCall, b));
    }

    private void withdraw() {
        mControl.receive(new BackendWithdrawn(++mCall, SERVER));
    }

    /** Guards against acknowledging a departure that a kill of all instances makes forgotten. */
    @Test
    void departureIsAcknowledgedOnlyOnceAQuorumHasIt() {
        mControl.stop(SECOND);
        mControl.stop(THIRD);
        withdraw();
        assertThat(mControl.answers()).hasSize(1);
    }

    @Test
    void departureIsAcknowledgedByALeaderWithAQuorum() {
        mControl.stop(THIRD);
        withdraw();
        assertThat(mControl.answers()).hasSize(2);
        assertThat(mControl.answers().get(1)).isInstanceOf(ControlEffect.AnswerCommand.class);
    }

    /** Guards against a write to the log for each announcement of a server that is draining. */
    @Test
    void furtherAnnouncementsOfADrainingServerNeedNoQuorum() {
        announce(Backend.State.DRAINING, 2);
        assertThat(mControl.answers()).last().isInstanceOf(ControlEffect.AnswerCommand.class);
        mControl.stop(SECOND);
        mControl.stop(THIRD);
        announce(Backend.State.DRAINING, 3);
        assertThat(mControl.answers()).last().isInstanceOf(ControlEffect.AnswerAnnounced.class);
        assertThat(mControl.answers()).hasSize(3);
    }

    /** Guards against a record of an earlier drain that is taken for that of a later one. */
    @Test
    void drainOfAServerThatServedAgainIsRecordedAnew() {
        announce(Backend.State.DRAINING, 2);
        announce(Backend.State.SERVING, 3);
        mControl.stop(SECOND);
        mControl.stop(THIRD);
        announce(Backend.State.DRAINING, 4);
        assertThat(mControl.answers()).hasSize(3);
    }

    /** Guards against recording a run that serves when an earlier run says late that it drains. */
    @Test
    void lateDrainOfAnEarlierRunDoesNotConcernTheLaterOne() {
        Backend later =
                new Backend(
                        new BackendRef("w", 5),
                        "s",
                        "dc",
                        "",
                        "1.2.3.4:80",
                        Backend.State.SERVING,
                        6,
                        1);
        mControl.receive(new BackendAnnounced(++mCall, later));
        announce(Backend.State.DRAINING, 2);
        mControl.receive(new BackendAnnounced(++mCall, later.withSession(2)));
        assertThat(mControl.state("w")).isEqualTo(Backend.State.SERVING);
    }

    /** Guards against acknowledging that a server left because it was recorded as draining. */
    @Test
    void departureOfADrainingServerIsRecordedToo() {
        announce(Backend.State.DRAINING, 2);
        mControl.stop(SECOND);
        mControl.stop(THIRD);
        withdraw();
        assertThat(mControl.answers()).hasSize(2);
    }
}
