package org.laurelweir.router.direct;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.runtime.rpc.ServerNoticeReader;

/** Tests the idle connections to a backend server that restarts under the same id. */
class IdleConnectionsTest {
    private static final BackendRef FIRST = new BackendRef("w", 1000);
    private static final BackendRef SECOND = new BackendRef("w", 2000);
    private static final Duration IDLE_TIME = Duration.ofMinutes(1);

    private final IdleConnections mIdle = new IdleConnections();

    private BackendConnection open(BackendRef backend) {
        BackendConnection connection =
                new BackendConnection(
                        backend,
                        mIdle,
                        new ServerNotices(new ServerNoticeReader("X-Leaving"), e -> {}));
        new EmbeddedChannel(connection);
        return connection;
    }

    @Test
    void connectionToAnEarlierIncarnationIsNotReused() {
        // The server crashed during a network partition, so its connections look open. A request
        // sent over one of them would wait until its deadline.
        BackendConnection old = open(FIRST);
        mIdle.put(old, IDLE_TIME);
        assertThat(mIdle.take(SECOND)).isNull();
        assertThat(old.isOpen()).isFalse();
        BackendConnection current = open(SECOND);
        mIdle.put(current, IDLE_TIME);
        assertThat(mIdle.take(SECOND)).isSameAs(current);
    }

    @Test
    void lateAnswerOfAnEarlierIncarnationClosesNoNewerConnection() {
        BackendConnection current = open(SECOND);
        mIdle.put(current, IDLE_TIME);
        BackendConnection old = open(FIRST);
        mIdle.put(old, IDLE_TIME);
        assertThat(old.isOpen()).isFalse();
        assertThat(mIdle.take(FIRST)).isNull();
        assertThat(mIdle.take(SECOND)).isSameAs(current);
    }
}
