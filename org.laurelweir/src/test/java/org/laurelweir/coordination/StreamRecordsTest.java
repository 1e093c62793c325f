package org.laurelweir.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.membership.MembershipConfig;
import org.laurelweir.membership.SharedMembership;

/** Tests which control instances count as having told routers of software versions. */
class StreamRecordsTest {
    private static final Instant START = Instant.EPOCH;
    private static final Duration WINDOW = Duration.ofSeconds(30);
    private static final String SELF = "c1:1";
    private static final String MEMBER = "c2:1";
    private static final String LEARNER = "c3:1";

    private final ControlConfig mConfig =
            ControlConfig.builder(new ReplicaId(SELF, 1), 0, Map.of(SELF, SELF))
                    .autoJoin(true)
                    .build();
    private final SharedMembership mMembership =
            new SharedMembership(
                    MembershipConfig.builder(SELF, 0).build(), List.of(), (b, reason, own) -> {});
    private final ControlPeers mPeers = new ControlPeers(mConfig, p -> {}, p -> {});
    private final StreamRecords mRecords = new StreamRecords(mConfig, mMembership, mPeers);

    private void updateAt(int second) {
        Instant now = START.plusSeconds(second);
        mRecords.beginStep(now);
        mPeers.removeSilent(now, Membership.ofVoters(List.of(new ReplicaId(MEMBER, 1))));
        mRecords.update(now);
    }

    private List<String> controlsAt(int second) {
        List<ControlEffect> effects = new ArrayList<>();
        mRecords.answer(
                START.plusSeconds(second),
                new ControlEvent.StreamOriginRequested(1, 1, "s", WINDOW),
                effects::add);
        return ((ControlEffect.AnswerStreamOrigin) effects.get(0)).report().controls();
    }

    // Guards against a guess while an instance that is cut off tells the routers on its side of a
    // version that nobody else knows.
    @Test
    void instanceThatIsCutOffCountsForALongTime() {
        mPeers.discover(START, LEARNER);
        updateAt(0);
        updateAt(300);
        assertThat(mPeers.all()).doesNotContain(LEARNER);
        assertThat(controlsAt(300)).containsExactlyInAnyOrder(SELF, MEMBER, LEARNER);
        updateAt(605);
        assertThat(controlsAt(605)).containsExactlyInAnyOrder(SELF, MEMBER);
    }
}
