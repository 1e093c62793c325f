package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laurelweir.direct.DirectRoutingDriver.GENUINE;
import static org.laurelweir.direct.DirectRoutingDriver.route;

import java.time.Duration;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.laurelweir.answer.ServerNotice;
import org.laurelweir.direct.DirectEffect.BeginCall;
import org.laurelweir.lib.BackendRef;

/** Tests that a backend server which asked for rest gets it, and requests again afterwards. */
class RestingServerTest {
    private static final Route IDEMPOTENT = route(true, false, false);
    private static final Route NON_IDEMPOTENT = route(false, false, false);
    private static final Duration REST = Duration.ofSeconds(3);
    private static final BackendRef RESTING = new BackendRef("s0", 0);

    private final DirectRoutingDriver mDriver = new DirectRoutingDriver(4);
    private long mLastCaller;

    private void askForRest(Duration rest) {
        mDriver.step(new DirectEvent.ServerNoticed(RESTING, new ServerNotice(rest, false)));
    }

    private long callsToRestingServer() {
        return mDriver.all(BeginCall.class).stream()
                .filter(c -> c.backend().id().equals(RESTING.id()))
                .count();
    }

    /** Sends a request every 10 ms, each of which is answered at once. */
    private void serveFor(Duration time, Route route) {
        for (long millis = 0; millis < time.toMillis(); millis += 10) {
            mDriver.arrive(++mLastCaller, route);
            long call = mDriver.lastCall().call();
            mDriver.answer(call, 200, GENUINE);
            mDriver.step(new DirectEvent.Finished(call));
            mDriver.advance(Duration.ofMillis(10));
        }
    }

    /** Guards against requests that reach a server within the time in which it wanted none. */
    @Test
    @Tag("known-red")
    void serverThatAskedForRestGetsNoRequestUntilItsEnd() {
        for (Route route : new Route[] {IDEMPOTENT, NON_IDEMPOTENT}) {
            askForRest(REST);
            long before = callsToRestingServer();
            serveFor(REST, route);
            assertThat(callsToRestingServer()).isEqualTo(before);
            serveFor(REST, route);
            assertThat(callsToRestingServer()).isGreaterThan(before);
        }
    }
}
