package org.laurelweir.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.Departure;

/** Tests the record of acknowledged departures. */
class DepartureTableTest {
    private static final Duration RETENTION = Duration.ofMinutes(10);

    private final ControlState mState = new ControlState(ControlState.Limits.DEFAULT);
    private long mIndex;

    private void record(Instant now, BackendRef server, Backend.State state, int session) {
        mState.apply(++mIndex, new Command.RecordDeparture(now, server, state, session, RETENTION));
    }

    private boolean isOutdated(long incarnation, int number) {
        return mState.departures()
                .isOutdated(
                        new Backend(
                                new BackendRef("w", incarnation),
                                "s",
                                "dc",
                                "",
                                "a:1",
                                Backend.State.SERVING,
                                6,
                                number));
    }

    /** Guards against a late announcement that brings a server back which has left. */
    @Test
    void everyAnnouncementOfAnIncarnationThatLeftIsOutdated() {
        record(Instant.EPOCH, new BackendRef("w", 5), Backend.State.LEFT, Departure.FINAL_SESSION);
        assertThat(isOutdated(5, 1_000)).isTrue();
        assertThat(isOutdated(4, 1_000)).isTrue();
        assertThat(isOutdated(6, 1)).isFalse();
    }

    @Test
    void onlyEarlierAnnouncementsOfADrainingServerAreOutdated() {
        record(Instant.EPOCH, new BackendRef("w", 5), Backend.State.DRAINING, 7);
        assertThat(isOutdated(5, 6)).isTrue();
        assertThat(isOutdated(5, 8)).isFalse();
    }

    /** Guards against a repeated or late record that takes back what is recorded. */
    @Test
    void laterIncarnationAndLaterStateStay() {
        record(Instant.EPOCH, new BackendRef("w", 5), Backend.State.LEFT, Departure.FINAL_SESSION);
        record(Instant.EPOCH, new BackendRef("w", 5), Backend.State.DRAINING, 9);
        record(Instant.EPOCH, new BackendRef("w", 4), Backend.State.LEFT, Departure.FINAL_SESSION);
        assertThat(mState.departures().get("w").server().incarnation()).isEqualTo(5);
        assertThat(mState.departures().get("w").state()).isEqualTo(Backend.State.LEFT);
    }

    /** Guards against a late announcement of the time between two drains. */
    @Test
    void laterDrainOutdatesAnnouncementsBetweenTheTwo() {
        record(Instant.EPOCH, new BackendRef("w", 5), Backend.State.DRAINING, 7);
        record(Instant.EPOCH, new BackendRef("w", 5), Backend.State.DRAINING, 20);
        assertThat(isOutdated(5, 15)).isTrue();
    }

    /** Guards against a table that grows with every server that ever left. */
    @Test
    void departuresExpireByTheTimeOfTheLog() {
        record(Instant.EPOCH, new BackendRef("w", 5), Backend.State.DRAINING, 7);
        record(Instant.EPOCH.plus(RETENTION), new BackendRef("x", 5), Backend.State.DRAINING, 7);
        assertThat(mState.departures().get("w")).isNull();
        assertThat(mState.departures().get("x")).isNotNull();
    }

    /** Guards against forgetting departures when the log is compacted. */
    @Test
    void snapshotContainsDepartures() {
        record(Instant.EPOCH, new BackendRef("w", 5), Backend.State.DRAINING, 7);
        ControlState restored = new ControlState(ControlState.Limits.DEFAULT);
        restored.restore(mState.snapshot());
        assertThat(restored.snapshot()).isEqualTo(mState.snapshot());
        assertThat(restored.departures().get("w")).isEqualTo(mState.departures().get("w"));
    }
}
