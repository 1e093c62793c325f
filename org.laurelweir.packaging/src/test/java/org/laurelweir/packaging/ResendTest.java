package org.laurelweir.packaging;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.laurelweir.junit.Await;
import org.laurelweir.packaging.fleet.Caller;
import org.laurelweir.packaging.fleet.Fleet;
import org.laurelweir.packaging.fleet.FleetProcess;
import org.laurelweir.packaging.fleet.StandIn;
import org.laurelweir.standin.Execution;
import org.laurelweir.standin.Execution.Outcome;

/** Orders that may run once only, sent again after a process between caller and service ended. */
class ResendTest {
    private static final int CREATED = 201;
    private static final long LATE_MILLIS = 2000;

    private static Fleet sFleet;
    private static List<StandIn> sPlains;
    private static FleetProcess sFirst;
    private static FleetProcess sSecond;

    @BeforeAll
    static void startFleet() {
        sFleet = Fleet.builder("resend").controls(3).routers(2).start();
        sPlains = List.of(sFleet.startPlain("havnebok-1"), sFleet.startPlain("havnebok-2"));
        sFleet.awaitReady();
        sFirst = sFleet.process("router-1");
        sSecond = sFleet.process("router-2");
    }

    @BeforeEach
    void restartFirst() {
        if (!sFirst.isRunning()) {
            sFirst.start();
            sFleet.awaitServing(sFirst);
        }
    }

    @AfterAll
    static void stopFleet() {
        sFleet.close();
    }

    /**
     * The caller loses its connection: the router is killed after it sent the order on, and before
     * the answer. The order runs to its end. The caller sends it again through the other router,
     * which finds the claim of the first attempt and fetches that attempt's answer.
     */
    @Test
    void resendAfterRouterKilledGetsFirstOutcome() {
        CompletableFuture<Caller.Reply> first = sendLate("killed-router");
        sFirst.kill();
        assertThat(first).failsWithin(Duration.ofMinutes(1));
        Await.until("the run's end", () -> run("killed-router").outcome() == Outcome.FINISHED);
        Caller.Reply again = Caller.get(Caller.order(sSecond, "killed-router"));
        assertIsOutcomeOfOnlyRun("killed-router", again);
    }

    /**
     * As above, but the caller is back while the first attempt still runs: the second router
     * follows that attempt to its end in place of sending one of its own.
     */
    @Test
    void resendWhileFirstRunsGetsFirstOutcome() {
        sendLate("still-running");
        sFirst.kill();
        assertThat(run("still-running").outcome()).isEqualTo(Outcome.RUNNING);
        Caller.Reply again = Caller.get(Caller.order(sSecond, "still-running"));
        assertIsOutcomeOfOnlyRun("still-running", again);
    }

    /** Both routers get one order at a time, as from a caller that lost patience: one run. */
    @Test
    void bothRoutersAnswerWithOneRun() {
        CompletableFuture<Caller.Reply> one = sendLate("two-at-once");
        CompletableFuture<Caller.Reply> two = Caller.order(sSecond, "two-at-once");
        assertIsOutcomeOfOnlyRun("two-at-once", Caller.get(one));
        assertIsOutcomeOfOnlyRun("two-at-once", Caller.get(two));
    }

    /**
     * The control leader that granted the claim is killed before the answer. The caller still gets
     * the answer, and its resend through the other router finds the claim at the next leader: the
     * claim was on a majority before the order was sent.
     */
    @Test
    void claimOutlivesTheLeaderThatGrantedIt() {
        CompletableFuture<Caller.Reply> first = sendLate("killed-leader");
        FleetProcess leader = sFleet.leader();
        leader.kill();
        assertIsOutcomeOfOnlyRun("killed-leader", Caller.get(first));
        sFleet.leader();
        Caller.Reply again = Caller.get(Caller.order(sSecond, "killed-leader"));
        assertIsOutcomeOfOnlyRun("killed-leader", again);
    }

    private static CompletableFuture<Caller.Reply> sendLate(String key) {
        sPlains.forEach(p -> p.answerLate(1, LATE_MILLIS));
        CompletableFuture<Caller.Reply> first = Caller.order(sFirst, key);
        Await.until("a run of " + key, () -> !runs(key).isEmpty() || first.isDone());
        assertThat(runs(key)).as("runs; answer %s", first).hasSize(1);
        sPlains.forEach(StandIn::clearFaults);
        return first;
    }

    private static List<Execution> runs(String key) {
        return StandIn.runsOfKey(sPlains, key);
    }

    private static Execution run(String key) {
        return runs(key).get(0);
    }

    private static void assertIsOutcomeOfOnlyRun(String key, Caller.Reply reply) {
        assertThat(runs(key)).hasSize(1);
        assertThat(reply.status()).as(reply.body()).isEqualTo(CREATED);
        assertThat(reply.json().path("execution").asText()).isEqualTo(run(key).id());
    }
}
