package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.laurelweir.lib.BackendRef;

/** Tests the record of a backend server that restarts under the same id. */
class ServerTableTest {
    private static final Instant NOW = Instant.EPOCH;
    private static final String SERVICE = "svc";
    private static final int SERVER_COUNT = 4;
    private static final BackendRef FIRST_INCARNATION = new BackendRef("w", 1000);
    private static final BackendRef SECOND_INCARNATION = new BackendRef("w", 2000);

    private final ServerTable mTable = new ServerTable();

    @Test
    void restartedServerStartsWithoutSlotsAndFailures() {
        // The server crashes under load and restarts. With the failures of its earlier incarnation
        // it would receive no request for seconds.
        mTable.onReportedSlots(FIRST_INCARNATION, 32);
        mTable.onUnreachable(SERVICE, FIRST_INCARNATION, SERVER_COUNT, NOW);
        assertThat(mTable.isPassedOver(SERVICE, FIRST_INCARNATION, NOW)).isTrue();
        assertThat(mTable.isPassedOver(SERVICE, SECOND_INCARNATION, NOW)).isFalse();
        assertThat(mTable.slots(SECOND_INCARNATION)).isZero();
    }

    @Test
    void lateEventsOfAnEarlierIncarnationAreIgnored() {
        mTable.onReportedSlots(SECOND_INCARNATION, 16);
        mTable.onUnreachable(SERVICE, FIRST_INCARNATION, SERVER_COUNT, NOW);
        mTable.onReportedSlots(FIRST_INCARNATION, 32);
        assertThat(mTable.slots(SECOND_INCARNATION)).isEqualTo(16);
        assertThat(mTable.isPassedOver(SERVICE, SECOND_INCARNATION, NOW)).isFalse();
    }

    /** Guards against requests to a replaced server after a full one at its address refused one. */
    @Test
    void shorterPauseDoesNotEndALongerOne() {
        mTable.onReplaced(FIRST_INCARNATION, NOW);
        mTable.onFull(FIRST_INCARNATION, NOW);
        assertThat(mTable.isPassedOver(SERVICE, FIRST_INCARNATION, NOW.plusSeconds(5))).isTrue();
    }
}
