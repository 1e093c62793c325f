package org.laurelweir.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.quarantine.Crash;
import org.laurelweir.quarantine.CrashDelta;
import org.laurelweir.quarantine.CrashRecord;
import org.laurelweir.quarantine.RequestKey;

/** What control instances pass on of requests under which backend servers ended. */
class CrashSharingTest {
    private static final Instant NOW = Instant.EPOCH;

    private final CrashSharing mSharing = newCrashSharing("c0", 2);

    private static CrashSharing newCrashSharing(String name, long incarnation) {
        return new CrashSharing(
                ControlConfig.builder(new ReplicaId(name, 1), incarnation, Map.of(name, name))
                        .build());
    }

    private static CrashRecord crashRecord(int request) {
        Crash crash = new Crash(new BackendRef("s1", 1), "r1", Duration.ZERO, false);
        return new CrashRecord(new RequestKey("acme", request), "svc", List.of(crash));
    }

    private static MembershipCursor cursorOfRun(String control, long incarnation) {
        return new MembershipCursor(control, incarnation, 0);
    }

    // A router that had more records of an instance's run before was never told those of the next.
    @Test
    void readerOfAnotherRunGetsAllRecords() {
        mSharing.onRouterReport(NOW, List.of(crashRecord(1), crashRecord(2)));
        assertThat(mSharing.deltaSince(NOW, cursorOfRun("c0", 1), 500).records()).hasSize(2);
        assertThat(mSharing.deltaSince(NOW, cursorOfRun("c1", 2), 500).records()).hasSize(2);
        assertThat(mSharing.deltaSince(NOW, cursorOfRun("c0", 2), 1).records()).hasSize(1);
        assertThat(mSharing.deltaSince(NOW, cursorOfRun("c0", 2), 2).records()).isEmpty();
    }

    // What two instances told each other went back and forth between them.
    @Test
    void onlyRouterReportsGoToPeersAtOnce() {
        mSharing.onRouterReport(NOW, List.of(crashRecord(1)));
        assertThat(mSharing.takePeerUpdate()).hasSize(1);
        assertThat(mSharing.takePeerUpdate()).isEmpty();
        mSharing.onRouterReport(NOW, List.of(crashRecord(1)));
        mSharing.onPeerAnnouncement(NOW, List.of(crashRecord(2)));
        mSharing.onPeerUpdate(NOW, "c1", new CrashDelta(9, List.of(crashRecord(3))));
        assertThat(mSharing.takePeerUpdate()).isEmpty();
        assertThat(mSharing.peerVersion("c1")).isEqualTo(9);
        assertThat(mSharing.deltaSince(NOW, MembershipCursor.NONE, 0).records()).hasSize(3);
    }
}
