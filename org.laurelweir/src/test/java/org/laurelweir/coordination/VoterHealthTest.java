package org.laurelweir.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.coordination.LossTolerance.Cause;
import org.laurelweir.coordination.LossTolerance.MissingVoter;

/** Tests how many losses a leader says that the log can bear. */
class VoterHealthTest {
    private static final Instant NOW = Instant.EPOCH.plusSeconds(100);
    private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(600);
    private static final OptionalInt ONE = OptionalInt.of(1);
    private static final ReplicaId C1 = new ReplicaId("c1", 1);
    private static final ReplicaId C2 = new ReplicaId("c2", 1);
    private static final ReplicaId C3 = new ReplicaId("c3", 1);
    private static final Membership THREE = Membership.ofVoters(List.of(C1, C2, C3));

    private final Set<ReplicaId> mCaughtUp = new HashSet<>(List.of(C1, C2, C3));
    private final Set<ReplicaId> mLostDisks = new HashSet<>();
    private final Map<ReplicaId, Instant> mLastContacts = new HashMap<>();

    private LossTolerance lossTolerance(Membership members, OptionalInt promised) {
        VoterHealth health =
                new VoterHealth() {
                    @Override
                    public boolean hasCaughtUp(ReplicaId voter) {
                        return mCaughtUp.contains(voter);
                    }

                    @Override
                    public Optional<Instant> lastContact(ReplicaId voter) {
                        return Optional.ofNullable(mLastContacts.get(voter));
                    }

                    @Override
                    public boolean hasLostDisk(ReplicaId voter) {
                        return mLostDisks.contains(voter);
                    }
                };
        return health.lossTolerance(NOW, members, SILENCE_TIMEOUT, promised);
    }

    @Test
    void healthyVotersBearWhatIsPossible() {
        LossTolerance t = lossTolerance(THREE, ONE);
        assertThat(t).isEqualTo(new LossTolerance(1, 1, ONE, List.of()));
        assertThat(t.isReduced()).isFalse();
        assertThat(t.hasTooFewVoters()).isFalse();
    }

    // Guards against a voter that is gone while the log seems to bear as many losses as before.
    @Test
    void silentVoterTakesALossAway() {
        mCaughtUp.remove(C2);
        mLastContacts.put(C2, NOW.minusSeconds(3));
        LossTolerance t = lossTolerance(THREE, ONE);
        MissingVoter silent = new MissingVoter(C2, Cause.SILENT, Duration.ofSeconds(3));
        assertThat(t).isEqualTo(new LossTolerance(0, 1, ONE, List.of(silent)));
        assertThat(t.isReduced()).isTrue();
    }

    @Test
    void voterThatRepliesWithoutTheLogIsBehind() {
        mCaughtUp.remove(C2);
        mLastContacts.put(C2, NOW.minusMillis(100));
        assertThat(lossTolerance(THREE, ONE).missing())
                .containsExactly(new MissingVoter(C2, Cause.BEHIND, Duration.ofMillis(100)));
    }

    // Guards against counting a voter that replied just before its disk was lost.
    @Test
    void voterWithALostDiskDoesNotCount() {
        mLastContacts.put(C3, NOW.minusMillis(100));
        mLostDisks.add(C3);
        LossTolerance t = lossTolerance(THREE, ONE);
        assertThat(t.now()).isZero();
        assertThat(t.missing())
                .containsExactly(new MissingVoter(C3, Cause.DISK_LOST, Duration.ofMillis(100)));
    }

    @Test
    void lossesBorneAreNeverNegative() {
        mCaughtUp.removeAll(List.of(C2, C3));
        assertThat(lossTolerance(THREE, ONE).now()).isZero();
    }

    @Test
    void learnersDoNotCount() {
        Membership members = Membership.ofVoters(List.of(C1, C2)).withLearner(C3);
        assertThat(lossTolerance(members, OptionalInt.empty()))
                .isEqualTo(new LossTolerance(0, 0, OptionalInt.empty(), List.of()));
    }

    // Guards against a promise that the number of voters can't keep, and that nobody notices.
    @Test
    void tooFewVotersForThePromiseAreNoticed() {
        LossTolerance t = lossTolerance(THREE, OptionalInt.of(2));
        assertThat(t.isReduced()).isTrue();
        assertThat(t.hasTooFewVoters()).isTrue();
    }
}
