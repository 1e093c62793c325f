package org.laurelweir.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.ReplicaId;

/** Tests which voters count as having lost their disks. */
class LostDisksTest {
    private static final Instant NOW = Instant.EPOCH;
    private static final ReplicaId SELF = new ReplicaId("c1", 1);
    private static final ReplicaId C2 = new ReplicaId("c2", 1);
    private static final ReplicaId C2_NEW = new ReplicaId("c2", 2);

    private final PeerStatuses mPeerStatuses = new PeerStatuses();
    private final LostDisks mLostDisks = new LostDisks(SELF, mPeerStatuses);

    private void report(Instant at, ReplicaId replica) {
        mPeerStatuses.put(
                at,
                new ControlInstanceStatus(
                        replica, "", false, 1, 1, false, Membership.EMPTY, Optional.empty()));
    }

    @Test
    void voterWhoseInstanceReportsAnotherDiskHasLostItsOwn() {
        mLostDisks.update(NOW, Set.of(SELF, C2));
        report(NOW.plusMillis(1), C2);
        assertThat(mLostDisks.contains(C2)).isFalse();
        report(NOW.plusMillis(2), C2_NEW);
        assertThat(mLostDisks.contains(C2)).isTrue();
    }

    // Guards against taking the disk that a voter replaced for its successor.
    @Test
    void reportFromBeforeTheVoterWasKnownDoesNotCount() {
        report(NOW, C2);
        mLostDisks.update(NOW.plusMillis(1), Set.of(SELF, C2_NEW));
        assertThat(mLostDisks.contains(C2_NEW)).isFalse();
    }

    @Test
    void ownDiskIsNotLostButAnEarlierOneIs() {
        assertThat(mLostDisks.contains(SELF)).isFalse();
        assertThat(mLostDisks.contains(new ReplicaId("c1", 2))).isTrue();
    }

    // Guards against forgetting a lost disk while its instance is down.
    @Test
    void lostDiskStaysLostWhileItsInstanceIsSilent() {
        mLostDisks.update(NOW, Set.of(C2));
        report(NOW.plusMillis(1), C2_NEW);
        mLostDisks.update(NOW.plusSeconds(3600), Set.of(C2));
        assertThat(mLostDisks.contains(C2)).isTrue();
    }
}
