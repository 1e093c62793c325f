package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laurelweir.direct.DirectRoutingDriver.GENUINE;
import static org.laurelweir.direct.DirectRoutingDriver.NOT_RUN;
import static org.laurelweir.direct.DirectRoutingDriver.route;

import java.time.Duration;
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

    /** Guards against a retry that goes to a server which asked for rest. */
    @Test
    void retryGoesToNoRestingServer() {
        askForRest(REST);
        for (int i = 0; i < 20; i++) {
            mDriver.arrive(++mLastCaller, IDEMPOTENT);
            for (int attempt = 0; attempt < 3; attempt++) {
                mDriver.answer(mDriver.lastCall().call(), 503, NOT_RUN);
            }
            mDriver.advance(Duration.ofMillis(150));
            askForRest(REST);
        }
        assertThat(mDriver.callCount()).isEqualTo(60);
        assertThat(callsToRestingServer()).isZero();
    }

    /** Guards against a rest that a later and shorter one, or a mere refusal, ends too early. */
    @Test
    void longerRestRemainsAfterAShorterOne() {
        askForRest(REST);
        askForRest(Duration.ofMillis(200));
        mDriver.advance(Duration.ofMillis(300));
        serveFor(Duration.ofSeconds(2), IDEMPOTENT);
        assertThat(callsToRestingServer()).isZero();
    }

    /** Guards against a rest that outlives the server that asked for it. */
    @Test
    void restartedServerGetsRequestsAtOnce() {
        askForRest(Duration.ofMinutes(1));
        mDriver.restart(RESTING.id());
        serveFor(Duration.ofSeconds(1), IDEMPOTENT);
        assertThat(callsToRestingServer()).isPositive();
    }

    /** Guards against the word of an earlier run that excludes the server started anew. */
    @Test
    void lateWordOfAnEarlierRunIsIgnored() {
        mDriver.restart(RESTING.id());
        serveFor(Duration.ofMillis(100), IDEMPOTENT);
        askForRest(Duration.ofMinutes(1));
        long before = callsToRestingServer();
        serveFor(Duration.ofSeconds(1), IDEMPOTENT);
        assertThat(callsToRestingServer()).isGreaterThan(before);
    }

    /** Guards against a rest that is forgotten while control does not name the server. */
    @Test
    void restOutlastsAnAbsenceFromTheMembership() {
        askForRest(Duration.ofMinutes(2));
        mDriver.leave(RESTING.id());
        mDriver.advance(Duration.ofSeconds(40));
        mDriver.advance(Duration.ofSeconds(40));
        mDriver.join(RESTING.id());
        serveFor(Duration.ofSeconds(2), IDEMPOTENT);
        assertThat(callsToRestingServer()).isZero();
        mDriver.advance(Duration.ofSeconds(40));
        serveFor(Duration.ofSeconds(2), IDEMPOTENT);
        assertThat(callsToRestingServer()).isPositive();
    }
}
