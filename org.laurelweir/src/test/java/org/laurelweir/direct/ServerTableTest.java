package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.laurelweir.lib.BackendRef;

/** What is known of a backend server that starts again under its name. */
class ServerTableTest {
    private static final Instant NOW = Instant.EPOCH;
    private static final String SERVICE = "svc";
    private static final int SERVERS = 4;
    private static final BackendRef FIRST = new BackendRef("w", 1000);
    private static final BackendRef SECOND = new BackendRef("w", 2000);

    private final ServerTable mTable = new ServerTable();

    @Test
    void aLaterStartHasNeitherTheSlotsNorTheFailuresOfTheRunBefore() {
        // The server crashes under load and starts again under its name. With the old failures it
        // would get no request for seconds.
        mTable.slotsTold(FIRST, 32);
        mTable.unreachable(SERVICE, FIRST, SERVERS, NOW);
        assertThat(mTable.isPassedOver(SERVICE, FIRST, NOW)).isTrue();
        assertThat(mTable.isPassedOver(SERVICE, SECOND, NOW)).isFalse();
        assertThat(mTable.slots(SECOND)).isZero();
    }

    @Test
    void whatTheRunBeforeStillDoesIsNotHeldAgainstTheLaterStart() {
        mTable.slotsTold(SECOND, 16);
        mTable.unreachable(SERVICE, FIRST, SERVERS, NOW);
        mTable.slotsTold(FIRST, 32);
        assertThat(mTable.slots(SECOND)).isEqualTo(16);
        assertThat(mTable.isPassedOver(SERVICE, SECOND, NOW)).isFalse();
    }
}
