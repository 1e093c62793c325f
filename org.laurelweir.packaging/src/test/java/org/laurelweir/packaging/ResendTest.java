package org.laurelweir.packaging;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
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

/**
 * Checks that an order, which must run only once, is not run again when it is resent after a
 * process between caller and service was killed.
 */
class ResendTest {
    private static final int CREATED = 201;
    private static final long ANSWER_DELAY_MILLIS = 2000;

    private static Fleet sFleet;
    private static List<StandIn> sPlainServices;
    private static FleetProcess sFirstRouter;
    private static FleetProcess sSecondRouter;

    @BeforeAll
    static void startFleet() {
        sFleet = Fleet.builder("resend").controls(3).routers(2).start();
        sPlainServices = List.of(sFleet.startPlain("havnebok-1"), sFleet.startPlain("havnebok-2"));
        sFleet.awaitReady();
        sFirstRouter = sFleet.process("router-1");
        sSecondRouter = sFleet.process("router-2");
    }

    @BeforeEach
    void restartFirstRouter() {
        if (!sFirstRouter.isRunning()) {
            sFirstRouter.start();
            sFleet.awaitServing(sFirstRouter);
        }
    }

    @AfterAll
    static void stopFleet() {
        sFleet.close();
    }

    /**
     * The router is killed after it sends an order to a backend server and before the answer, so
     * the caller loses its connection. The order runs to its end. The caller resends it through the
     * other router, which finds the claim of the first attempt and fetches that attempt's answer.
     */
    @Test
    void resendAfterRouterKilledGetsFirstOutcome() {
        CompletableFuture<Caller.Reply> first = sendWithDelayedAnswer("killed-router");
        sFirstRouter.kill();
        assertThat(first).failsWithin(Duration.ofMinutes(1));
        Await.until("the run ends", () -> run("killed-router").outcome() == Outcome.FINISHED);
        Caller.Reply again = Caller.await(Caller.order(sSecondRouter, "killed-router"));
        assertIsOutcomeOfOnlyRun("killed-router", again);
    }

    /**
     * The caller resends while the first attempt still runs. The second router waits for the end of
     * that attempt and sends no attempt of its own.
     */
    @Test
    void resendWhileFirstRunsGetsFirstOutcome() {
        sendWithDelayedAnswer("still-running");
        sFirstRouter.kill();
        assertThat(run("still-running").outcome()).isEqualTo(Outcome.RUNNING);
        Caller.Reply again = Caller.await(Caller.order(sSecondRouter, "still-running"));
        assertIsOutcomeOfOnlyRun("still-running", again);
    }

    /**
     * A caller that does not wait for the answer sends the same order to both routers at the same
     * time. The order runs once.
     */
    @Test
    void concurrentSendsToBothRoutersRunOnce() {
        CompletableFuture<Caller.Reply> one = sendWithDelayedAnswer("two-at-once");
        CompletableFuture<Caller.Reply> two = Caller.order(sSecondRouter, "two-at-once");
        assertIsOutcomeOfOnlyRun("two-at-once", Caller.await(one));
        assertIsOutcomeOfOnlyRun("two-at-once", Caller.await(two));
    }

    /**
     * The control leader that granted the claim is killed before the answer. The caller still gets
     * the answer. Its resend through the other router finds the claim at the next leader, because a
     * majority stores the claim before the order is sent.
     */
    @Test
    void claimSurvivesKilledLeader() {
        CompletableFuture<Caller.Reply> first = sendWithDelayedAnswer("killed-leader");
        FleetProcess leader = sFleet.leader();
        leader.kill();
        assertIsOutcomeOfOnlyRun("killed-leader", Caller.await(first));
        sFleet.leader();
        Caller.Reply again = Caller.await(Caller.order(sSecondRouter, "killed-leader"));
        assertIsOutcomeOfOnlyRun("killed-leader", again);
    }

    /**
     * The backend server's answer ends with its connection, in the middle of a JSON text. Half an
     * answer must not become the outcome that each resend gets, and the order must not run again.
     */
    @Test
    void answerThatItsConnectionCutsIsNotTheOutcome() {
        sPlainServices.forEach(
                p -> p.injectFault("{\"kind\":\"unframed_cut\",\"count\":1,\"after\":9}"));
        assertThatThrownBy(() -> Caller.await(Caller.order(sFirstRouter, "cut-answer")))
                .hasRootCauseInstanceOf(IOException.class);
        sPlainServices.forEach(StandIn::clearFaults);
        assertThatThrownBy(() -> Caller.await(Caller.order(sSecondRouter, "cut-answer")))
                .hasRootCauseInstanceOf(IOException.class);
        assertThat(runs("cut-answer")).hasSize(1);
    }

    private static CompletableFuture<Caller.Reply> sendWithDelayedAnswer(String key) {
        sPlainServices.forEach(p -> p.delayAnswers(1, ANSWER_DELAY_MILLIS));
        CompletableFuture<Caller.Reply> first = Caller.order(sFirstRouter, key);
        Await.until("a service runs " + key, () -> !runs(key).isEmpty() || first.isDone());
        assertThat(runs(key)).as("runs; answer %s", first).hasSize(1);
        sPlainServices.forEach(StandIn::clearFaults);
        return first;
    }

    private static List<Execution> runs(String key) {
        return StandIn.runsOfKey(sPlainServices, key);
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
