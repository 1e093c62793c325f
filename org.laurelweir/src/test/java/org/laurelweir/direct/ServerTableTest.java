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
    void aLaterStartHasNeitherTheLoadNorTheFailuresOfTheRunBefore() {
        // The server crashes under load and starts again under its name. With the old load it would
        // get no request until the report is too old, and with the old failures none for seconds.
        mTable.began(FIRST);
        mTable.reported(FIRST, new AnswerFacts.ReportedLoad(30, 5, 32), NOW);
        mTable.unreachable(SERVICE, FIRST, SERVERS, NOW);
        assertThat(mTable.isPassedOver(SERVICE, FIRST, NOW)).isTrue();
        assertThat(mTable.isPassedOver(SERVICE, SECOND, NOW)).isFalse();
        assertThat(mTable.load(SECOND, NOW)).isZero();
        assertThat(mTable.slots(SECOND)).isZero();
    }

    @Test
    void whatTheRunBeforeStillDoesIsNotHeldAgainstTheLaterStart() {
        mTable.began(FIRST);
        mTable.began(SECOND);
        mTable.ended(FIRST);
        mTable.unreachable(SERVICE, FIRST, SERVERS, NOW);
        mTable.reported(FIRST, new AnswerFacts.ReportedLoad(30, 5, 32), NOW);
        assertThat(mTable.load(SECOND, NOW)).isEqualTo(1);
        assertThat(mTable.isPassedOver(SERVICE, SECOND, NOW)).isFalse();
    }
}
