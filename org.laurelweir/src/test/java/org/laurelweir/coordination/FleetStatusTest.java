package org.laurelweir.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.PeerUpdate;
import org.laurelweir.quarantine.CrashDelta;

/** Tests which control instances the status of the fleet names. */
class FleetStatusTest {
    private static final ReplicaId SELF = new ReplicaId("c1", 1);
    private static final ReplicaId LEADER = new ReplicaId("c2", 1);
    private static final Duration LONGER_THAN_STATUS_AGE = Duration.ofSeconds(3);

    private final ControlReducer mControl =
            new ControlReducer(
                    ControlConfig.builder(SELF, 1, Map.of("c1", "c1:1", "c2", "c2:1")).build(),
                    new UnusedLogCodec(),
                    1);
    private Instant mNow = Instant.EPOCH;

    private void receiveStatusOfTheLeader() {
        Membership members = Membership.ofVoters(List.of(SELF, LEADER));
        ControlInstanceStatus status =
                new ControlInstanceStatus(
                        LEADER, "c2:1", true, 1, 1, false, members, Optional.empty());
        PeerUpdate update = new PeerUpdate(new MembershipCursor("c2", 1, 1), List.of(), List.of());
        step(new ControlEvent.PeerUpdateReceived("c2", update, CrashDelta.NONE, List.of(), status));
    }

    private List<ControlEffect> step(ControlEvent event) {
        List<ControlEffect> effects = new ArrayList<>();
        mControl.step(mNow, event, effects::add);
        return effects;
    }

    private List<ReplicaId> replicasInStatus() {
        return step(new ControlEvent.StatusRequested(1)).stream()
                .filter(ControlEffect.AnswerStatus.class::isInstance)
                .map(ControlEffect.AnswerStatus.class::cast)
                .flatMap(a -> a.status().controls().stream())
                .map(ControlInstanceStatus::replica)
                .toList();
    }

    @Test
    void statusNamesTheInstancesThatWereHeardLately() {
        receiveStatusOfTheLeader();
        assertThat(replicasInStatus()).containsExactly(SELF, LEADER);
    }

    // Guards against a replacement that takes the lost replica for the present one, or the list of
    // voters from a leader that is gone.
    @Test
    void statusLeavesOutAnInstanceThatIsGone() {
        receiveStatusOfTheLeader();
        mNow = mNow.plus(LONGER_THAN_STATUS_AGE);
        assertThat(replicasInStatus()).containsExactly(SELF);
    }
}
