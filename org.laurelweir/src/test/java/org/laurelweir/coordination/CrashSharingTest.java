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

    private final CrashSharing mSharing = sharing("c0", 2);

    private static CrashSharing sharing(String name, long incarnation) {
        return new CrashSharing(
                ControlConfig.builder(new ReplicaId(name, 1), incarnation, Map.of(name, name))
                        .build());
    }

    private static CrashRecord record(int request) {
        Crash crash = new Crash(new BackendRef("s1", 1), "r1", Duration.ZERO, false);
        return new CrashRecord(new RequestKey("acme", request), "svc", List.of(crash));
    }

    private static MembershipCursor run(String control, long incarnation) {
        return new MembershipCursor(control, incarnation, 0);
    }

    // A router that had more records of an instance's run before was never told those of the next.
    @Test
    void aReaderOfAnotherRunIsToldEverything() {
        mSharing.toldByRouter(NOW, List.of(record(1), record(2)));
        assertThat(mSharing.answer(NOW, run("c0", 1), 500).records()).hasSize(2);
        assertThat(mSharing.answer(NOW, run("c1", 2), 500).records()).hasSize(2);
        assertThat(mSharing.answer(NOW, run("c0", 2), 1).records()).hasSize(1);
        assertThat(mSharing.answer(NOW, run("c0", 2), 2).records()).isEmpty();
    }

    // What two instances told each other went back and forth between them.
    @Test
    void onlyWhatARouterSawGoesToPeersAtOnce() {
        mSharing.toldByRouter(NOW, List.of(record(1)));
        assertThat(mSharing.takeUrgent()).hasSize(1);
        assertThat(mSharing.takeUrgent()).isEmpty();
        mSharing.toldByRouter(NOW, List.of(record(1)));
        mSharing.announced(NOW, List.of(record(2)));
        mSharing.answered(NOW, "c1", new CrashDelta(9, List.of(record(3))));
        assertThat(mSharing.takeUrgent()).isEmpty();
        assertThat(mSharing.seenOf("c1")).isEqualTo(9);
        assertThat(mSharing.answer(NOW, MembershipCursor.NONE, 0).records()).hasSize(3);
    }
}
