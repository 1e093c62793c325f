package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laurelweir.direct.DirectRoutingDriver.GENUINE;
import static org.laurelweir.direct.DirectRoutingDriver.NOT_RUN;
import static org.laurelweir.direct.DirectRoutingDriver.route;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.laurelweir.answer.ServerNotice;
import org.laurelweir.direct.DirectEffect.AnswerError;
import org.laurelweir.direct.DirectEffect.BeginCall;
import org.laurelweir.direct.DirectEffect.LogDecision;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.ResultCode;

/** Tests that a backend server which asked for backoff gets it, and requests again afterwards. */
class ServerBackoffTest {
    private static final int SERVERS = 4;
    private static final Route IDEMPOTENT = route(true, false, false);
    private static final Route NON_IDEMPOTENT = route(false, false, false);
    private static final Duration BACKOFF = Duration.ofSeconds(3);
    private static final BackendRef SERVER = new BackendRef("s0", 0);

    private final DirectRoutingDriver mDriver = new DirectRoutingDriver(SERVERS);
    private long mLastCaller;

    private void askForBackoff(Duration backoff) {
        mDriver.step(new DirectEvent.ServerNoticed(SERVER, new ServerNotice(backoff, false)));
    }

    private void letAllAskForBackoff(Duration backoff) {
        for (int i = 0; i < SERVERS; i++) {
            BackendRef server = new BackendRef("s" + i, 0);
            mDriver.step(new DirectEvent.ServerNoticed(server, new ServerNotice(backoff, false)));
        }
    }

    private long callsToTheServer() {
        return mDriver.all(BeginCall.class).stream()
                .filter(c -> c.backend().id().equals(SERVER.id()))
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
    void serverThatAskedForBackoffGetsNoRequestUntilItsEnd() {
        for (Route route : new Route[] {IDEMPOTENT, NON_IDEMPOTENT}) {
            askForBackoff(BACKOFF);
            long before = callsToTheServer();
            serveFor(BACKOFF, route);
            assertThat(callsToTheServer()).isEqualTo(before);
            serveFor(BACKOFF, route);
            assertThat(callsToTheServer()).isGreaterThan(before);
        }
    }

    /** Guards against a retry that goes to a server which asked for backoff. */
    @Test
    void retrySparesAServerInBackoff() {
        askForBackoff(BACKOFF);
        for (int i = 0; i < 20; i++) {
            mDriver.arrive(++mLastCaller, IDEMPOTENT);
            for (int attempt = 0; attempt < 3; attempt++) {
                mDriver.answer(mDriver.lastCall().call(), 503, NOT_RUN);
            }
            mDriver.advance(Duration.ofMillis(150));
            askForBackoff(BACKOFF);
        }
        assertThat(mDriver.callCount()).isEqualTo(60);
        assertThat(callsToTheServer()).isZero();
    }

    /** Guards against a backoff that a later and shorter one ends too early. */
    @Test
    void longerBackoffRemainsAfterAShorterOne() {
        askForBackoff(BACKOFF);
        askForBackoff(Duration.ofMillis(200));
        mDriver.advance(Duration.ofMillis(300));
        serveFor(Duration.ofSeconds(2), IDEMPOTENT);
        assertThat(callsToTheServer()).isZero();
    }

    /** Guards against a backoff that outlives the server that asked for it. */
    @Test
    void restartedServerGetsRequestsAtOnce() {
        askForBackoff(Duration.ofMinutes(1));
        mDriver.restart(SERVER.id());
        serveFor(Duration.ofSeconds(1), IDEMPOTENT);
        assertThat(callsToTheServer()).isPositive();
    }

    /** Guards against the word of an earlier run that excludes the server started anew. */
    @Test
    void lateWordOfAnEarlierRunIsIgnored() {
        mDriver.restart(SERVER.id());
        serveFor(Duration.ofMillis(100), IDEMPOTENT);
        askForBackoff(Duration.ofMinutes(1));
        long before = callsToTheServer();
        serveFor(Duration.ofSeconds(1), IDEMPOTENT);
        assertThat(callsToTheServer()).isGreaterThan(before);
        assertThat(mDriver.mRouting.noticeCounts().backoffs()).isZero();
        assertThat(mDriver.all(LogDecision.class))
                .noneMatch(l -> l.decision().choice().equals("BACKOFF"));
    }

    /** Guards against a backoff that is forgotten while control does not name the server. */
    @Test
    void backoffOutlastsAnAbsenceFromTheMembership() {
        askForBackoff(Duration.ofMinutes(2));
        mDriver.leave(SERVER.id());
        mDriver.advance(Duration.ofSeconds(40));
        mDriver.advance(Duration.ofSeconds(40));
        mDriver.join(SERVER.id());
        serveFor(Duration.ofSeconds(2), IDEMPOTENT);
        assertThat(callsToTheServer()).isZero();
        mDriver.advance(Duration.ofSeconds(40));
        serveFor(Duration.ofSeconds(2), IDEMPOTENT);
        assertThat(callsToTheServer()).isPositive();
    }

    /** Guards against a caller that is told to return while all servers are still in backoff. */
    @Test
    void callerIsToldToReturnWhenTheFirstBackoffEnds() {
        letAllAskForBackoff(BACKOFF);
        askForBackoff(BACKOFF.plusSeconds(1));
        mDriver.advance(Duration.ofMillis(500));
        mDriver.arrive(++mLastCaller, IDEMPOTENT);
        AnswerError error = mDriver.last(AnswerError.class);
        assertThat(mDriver.callCount()).isZero();
        assertThat(error.code()).isEqualTo(ResultCode.OVERLOADED);
        assertThat(error.retryAfter()).isBetween(BACKOFF.minusMillis(500), BACKOFF);
        mDriver.advance(error.retryAfter());
        mDriver.arrive(++mLastCaller, IDEMPOTENT);
        assertThat(mDriver.callCount()).isEqualTo(1);
    }

    /** Guards against callers that all return in the same moment, when the backoff ends. */
    @Test
    void callersReturnSpreadOut() {
        letAllAskForBackoff(BACKOFF);
        for (int i = 0; i < 50; i++) {
            mDriver.arrive(++mLastCaller, IDEMPOTENT);
        }
        long times =
                mDriver.all(AnswerError.class).stream()
                        .map(AnswerError::retryAfter)
                        .distinct()
                        .count();
        assertThat(times).isGreaterThan(25);
    }

    /** Guards against a long delay although a server that is not in backoff has room. */
    @Test
    void delayIsShortWhileOneServerIsNotInBackoff() {
        askForBackoff(Duration.ofMinutes(1));
        mDriver.arrive(++mLastCaller, IDEMPOTENT);
        for (int attempt = 0; attempt < 3; attempt++) {
            mDriver.answer(mDriver.lastCall().call(), 503, NOT_RUN);
        }
        assertThat(mDriver.last(AnswerError.class).retryAfter()).isLessThan(Duration.ofSeconds(1));
    }

    /** Guards against a contended request that is held although no server can take it in time. */
    @Test
    void contendedRequestIsRefusedAtOnceWhenAllServersAreInBackoff() {
        letAllAskForBackoff(BACKOFF);
        mDriver.arriveContended(++mLastCaller, IDEMPOTENT, Prompt.NONE);
        assertThat(mDriver.waitingRequests()).isZero();
        assertThat(mDriver.last(AnswerError.class).retryAfter()).isGreaterThanOrEqualTo(BACKOFF);
    }

    /** Guards against a contended request that is refused although a backoff is about to end. */
    @Test
    void contendedRequestWaitsForTheEndOfAShortBackoff() {
        letAllAskForBackoff(Duration.ofMillis(15));
        mDriver.arriveContended(++mLastCaller, IDEMPOTENT, Prompt.NONE);
        assertThat(mDriver.callCount()).isZero();
        assertThat(mDriver.waitingRequests()).isEqualTo(1);
        mDriver.advance(Duration.ofMillis(20));
        assertThat(mDriver.callCount()).isEqualTo(1);
    }

    /**
     * Guards against a request that is lost, or a server ejected, since its request was withheld.
     */
    @Test
    void withheldRequestGoesToAnotherServer() {
        mDriver.arrive(++mLastCaller, NON_IDEMPOTENT);
        BeginCall first = mDriver.lastCall();
        mDriver.step(
                new DirectEvent.Failed(first.call(), DirectEvent.Failure.WITHHELD, "in backoff"));
        assertThat(mDriver.callCount()).isEqualTo(2);
        assertThat(mDriver.lastCall().backend()).isNotEqualTo(first.backend());
        assertThat(mDriver.reasons(mLastCaller)).contains("withheld");
        serveFor(Duration.ofSeconds(1), IDEMPOTENT);
        assertThat(mDriver.all(BeginCall.class).stream().skip(2).map(BeginCall::backend))
                .contains(first.backend());
    }
}
