package org.laurelweir.router.direct;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.laurelweir.lib.BackendRef;

/** Connections that are kept to a backend server which starts again under its name. */
class IdleConnectionsTest {
    private static final BackendRef FIRST = new BackendRef("w", 1000);
    private static final BackendRef SECOND = new BackendRef("w", 2000);
    private static final Duration IDLE_TIME = Duration.ofMinutes(1);

    private final IdleConnections mIdle = new IdleConnections();

    private BackendConnection open(BackendRef backend) {
        BackendConnection connection = new BackendConnection(backend, mIdle);
        new EmbeddedChannel(connection);
        return connection;
    }

    @Test
    void aConnectionToTheRunBeforeIsNotUsedForALaterStart() {
        // The server crashed behind a cut, so that its connections look open. A request on one of
        // them would wait for an answer until its time is over.
        BackendConnection old = open(FIRST);
        mIdle.put(old, IDLE_TIME);
        assertThat(mIdle.take(SECOND)).isNull();
        assertThat(old.isOpen()).isFalse();
        BackendConnection present = open(SECOND);
        mIdle.put(present, IDLE_TIME);
        assertThat(mIdle.take(SECOND)).isSameAs(present);
    }

    @Test
    void aLateAnswerOfTheRunBeforeClosesNoneOfTheLaterStart() {
        BackendConnection present = open(SECOND);
        mIdle.put(present, IDLE_TIME);
        BackendConnection old = open(FIRST);
        mIdle.put(old, IDLE_TIME);
        assertThat(old.isOpen()).isFalse();
        assertThat(mIdle.take(FIRST)).isNull();
        assertThat(mIdle.take(SECOND)).isSameAs(present);
    }
}
