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
import org.laurelweir.quarantine.SuspectKey;

/** Tests how control instances distribute the records of crashes of backend servers. */
class CrashSharingTest {
    private static final Instant NOW = Instant.EPOCH;

    private final CrashSharing mCrashSharing = newCrashSharing("c0", 2);

    private static CrashSharing newCrashSharing(String name, long incarnation) {
        return new CrashSharing(
                ControlConfig.builder(new ReplicaId(name, 1), incarnation, Map.of(name, name))
                        .build());
    }

    private static CrashRecord crashRecord(int request) {
        Crash crash = new Crash(new BackendRef("s1", 1), "r1", Duration.ZERO, false);
        return new CrashRecord(SuspectKey.request("acme", request), "svc", List.of(crash));
    }

    private static MembershipCursor cursorOfRun(String control, long incarnation) {
        return new MembershipCursor(control, incarnation, 0);
    }

    // Guards against missing records after a restart of control: the router's version from the
    // previous run is higher than all versions of the new run. It must not count for the new run.
    @Test
    void readerOfAnotherRunGetsAllRecords() {
        mCrashSharing.onRouterReport(NOW, List.of(crashRecord(1), crashRecord(2)));
        assertThat(mCrashSharing.deltaSince(NOW, cursorOfRun("c0", 1), 500).records()).hasSize(2);
        assertThat(mCrashSharing.deltaSince(NOW, cursorOfRun("c1", 2), 500).records()).hasSize(2);
        assertThat(mCrashSharing.deltaSince(NOW, cursorOfRun("c0", 2), 1).records()).hasSize(1);
        assertThat(mCrashSharing.deltaSince(NOW, cursorOfRun("c0", 2), 2).records()).isEmpty();
    }

    // Guards against records that two control instances send back and forth between each other.
    @Test
    void onlyRouterReportsGoToPeersAtOnce() {
        mCrashSharing.onRouterReport(NOW, List.of(crashRecord(1)));
        assertThat(mCrashSharing.takePeerUpdate()).hasSize(1);
        assertThat(mCrashSharing.takePeerUpdate()).isEmpty();
        mCrashSharing.onRouterReport(NOW, List.of(crashRecord(1)));
        mCrashSharing.onPeerAnnouncement(NOW, List.of(crashRecord(2)));
        mCrashSharing.onPeerUpdate(NOW, "c1", new CrashDelta(9, List.of(crashRecord(3))));
        assertThat(mCrashSharing.takePeerUpdate()).isEmpty();
        assertThat(mCrashSharing.peerVersion("c1")).isEqualTo(9);
        assertThat(mCrashSharing.deltaSince(NOW, MembershipCursor.NONE, 0).records()).hasSize(3);
    }
}
