package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.laurelweir.lib.BackendRef;

/** What is known of a backend server that starts again under its name. */
class ServerTableTest {
    private static final Instant NOW = Instant.EPOCH;
    private static final String SERVICE = "svc";
    private static final int SERVER_COUNT = 4;
    private static final BackendRef FIRST_RUN = new BackendRef("w", 1000);
    private static final BackendRef SECOND_RUN = new BackendRef("w", 2000);

    private final ServerTable mTable = new ServerTable();

    @Test
    void restartedServerStartsWithoutSlotsAndFailures() {
        // The server crashes under load and starts again under its name. With the old failures it
        // would get no request for seconds.
        mTable.onReportedSlots(FIRST_RUN, 32);
        mTable.onUnreachable(SERVICE, FIRST_RUN, SERVER_COUNT, NOW);
        assertThat(mTable.isPassedOver(SERVICE, FIRST_RUN, NOW)).isTrue();
        assertThat(mTable.isPassedOver(SERVICE, SECOND_RUN, NOW)).isFalse();
        assertThat(mTable.slots(SECOND_RUN)).isZero();
    }

    @Test
    void lateEventsOfAnEarlierRunAreIgnored() {
        mTable.onReportedSlots(SECOND_RUN, 16);
        mTable.onUnreachable(SERVICE, FIRST_RUN, SERVER_COUNT, NOW);
        mTable.onReportedSlots(FIRST_RUN, 32);
        assertThat(mTable.slots(SECOND_RUN)).isEqualTo(16);
        assertThat(mTable.isPassedOver(SERVICE, SECOND_RUN, NOW)).isFalse();
    }
}
