package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laurelweir.direct.DirectRoutingDriver.GENUINE;
import static org.laurelweir.direct.DirectRoutingDriver.route;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.laurelweir.direct.DirectEvent.Failure;

/** Tests where one router lets streams go on. */
class ResumptionTest {
    private static final Route RESUMABLE = route(false, true, true);
    private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";

    private final DirectRoutingDriver mDriver = new DirectRoutingDriver(0);

    @BeforeEach
    void addServers() {
        for (int i = 0; i < 3; i++) {
            mDriver.joinVersion("a" + i, "v1");
            mDriver.joinVersion("b" + i, "v2");
        }
    }

    private void begin(long caller, Route route) {
        mDriver.arrive(caller, route);
        mDriver.answer(mDriver.lastCall().call(), 200, GENUINE);
    }

    private void receive(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        mDriver.step(new DirectEvent.DataReceived(mDriver.lastCall().call(), bytes));
    }

    private void fail() {
        long call = mDriver.lastCall().call();
        mDriver.step(new DirectEvent.Failed(call, Failure.CONNECTION_LOST, "lost"));
    }

    private String lastCalledVersion() {
        return mDriver.backend(mDriver.lastCall().backend().id()).version();
    }

    // Guards against a router that joins what servers of two versions wrote.
    @Test
    void routerGoesOnAtTheSameVersionOnly() {
        for (long caller = 1; caller <= 20; caller++) {
            begin(caller, RESUMABLE);
            receive(FIRST_EVENT);
            String version = lastCalledVersion();
            fail();
            assertThat(lastCalledVersion()).isEqualTo(version);
            assertThat(mDriver.lastCall().resumeAfter()).isEqualTo("1");
            mDriver.step(new DirectEvent.CallerGone(caller));
            mDriver.advance(Duration.ofSeconds(10));
        }
    }

    // Guards against a refusal where going on was safe: nothing of the first server has gone out.
    @Test
    void streamWithoutAnEventGoesOnAtAnyVersion() {
        mDriver.leave("b0");
        mDriver.leave("b1");
        mDriver.leave("b2");
        begin(1, RESUMABLE);
        String first = mDriver.lastCall().backend().id();
        mDriver.leave("a0");
        mDriver.leave("a1");
        mDriver.leave("a2");
        mDriver.joinVersion("c", "v3");
        fail();
        assertThat(mDriver.lastCall().backend().id()).isEqualTo("c").isNotEqualTo(first);
    }
}
