package org.laurelweir.runtime.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests which connection gives way at the limit. */
class OpenConnectionsTest {
    private final EmbeddedChannel mFirst = new EmbeddedChannel();
    private final EmbeddedChannel mSecond = new EmbeddedChannel();
    private final EmbeddedChannel mThird = new EmbeddedChannel();

    // Guards against refused connections that count for good, since the socket of one that is
    // closed before it is registered tells nobody of its end, until all later ones are refused.
    @Test
    void refusedConnectionIsNotCounted() {
        OpenConnections open = new OpenConnections(() -> 1, Duration.ofHours(1));
        assertThat(open.add(mFirst)).isEmpty();
        assertThat(open.add(mSecond)).contains(mSecond);
        assertThat(open.add(mThird)).contains(mThird);
        assertThat(open.count()).isEqualTo(1);
        mFirst.close();
        assertThat(open.count()).isZero();
        assertThat(open.add(mSecond)).isEmpty();
    }

    @Test
    void connectionThatIsIdleLongestGivesWay() {
        OpenConnections open = new OpenConnections(2);
        open.add(mFirst);
        open.add(mSecond);
        open.onRequest(mFirst);
        open.onAnswered(mFirst);
        assertThat(open.add(mThird)).contains(mSecond);
        mSecond.close();
        assertThat(open.count()).isEqualTo(2);
    }

    @Test
    void connectionWithARequestStays() {
        OpenConnections open = new OpenConnections(1);
        open.add(mFirst);
        open.onRequest(mFirst);
        assertThat(open.add(mSecond)).contains(mSecond);
    }
}
