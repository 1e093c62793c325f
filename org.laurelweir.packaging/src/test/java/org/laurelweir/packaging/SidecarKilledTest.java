package org.laurelweir.packaging;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.laurelweir.junit.Await;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.packaging.fleet.Caller;
import org.laurelweir.packaging.fleet.ChatStream;
import org.laurelweir.packaging.fleet.Fleet;
import org.laurelweir.packaging.fleet.FleetProcess;
import org.laurelweir.packaging.fleet.StandIn;

/** Checks calls whose sidecar is killed before, during or after the call. */
class SidecarKilledTest {
    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int ORDER_COUNT = 6;
    private static final long NO_ANSWER_DELAY_MILLIS = 600_000;

    private static Fleet sFleet;
    private static FleetProcess sRouter;
    private static List<StandIn> sPlainServices;
    private static StandIn sEngine;

    @BeforeAll
    static void startFleet() {
        sFleet = Fleet.builder("sidecar-killed").start();
        sPlainServices = List.of(sFleet.startPlain("havnebok-1"), sFleet.startPlain("havnebok-2"));
        sEngine = sFleet.startEngine("seilhjerne-1");
        sFleet.awaitReady();
        sRouter = sFleet.process("router-1");
    }

    @BeforeEach
    void restartSidecars() {
        for (StandIn s : List.of(sPlainServices.get(0), sPlainServices.get(1), sEngine)) {
            if (!s.sidecar().isRunning()) {
                s.sidecar().start();
            }
            s.clearFaults();
        }
        sFleet.awaitServing(sRouter);
        // A restarted sidecar rejects calls that are addressed to its earlier incarnation until the
        // router learns of the new one.
        sFleet.awaitReachable(sRouter, sPlainServices);
    }

    @AfterAll
    static void stopFleet() {
        sFleet.close();
    }

    /**
     * The router does not know yet that a sidecar is killed, and sends orders to it. It gets no
     * connection, which proves that the order was not sent, and sends it to the other backend
     * server. Every order is answered.
     */
    @Test
    void ordersAfterKillRunOnceAtOtherBackendServer() {
        sPlainServices.get(0).sidecar().kill();
        for (int i = 0; i < ORDER_COUNT; i++) {
            String key = "before-" + i;
            Caller.Reply reply = Caller.await(Caller.order(sRouter, key));
            assertThat(reply.status()).as(reply.body()).isEqualTo(CREATED);
            assertThat(StandIn.runsOfKey(sPlainServices, key)).hasSize(1);
        }
    }

    /**
     * The sidecar is killed while it runs an order, so no process can tell how the order ends. The
     * router reports an unknown outcome: it neither reports "not run" nor sends the order to
     * another backend server.
     */
    @Test
    void orderAtKilledSidecarHasUnknownOutcome() {
        CompletableFuture<Caller.Reply> reply = sendUnanswered("during");
        killSidecarRunning("during");
        assertThat(Caller.await(reply).code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN.number());
        assertThat(StandIn.runsOfKey(sPlainServices, "during")).hasSize(1);
        Caller.Reply again = Caller.await(Caller.order(sRouter, "during"));
        assertThat(again.code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN.number());
        assertThat(StandIn.runsOfKey(sPlainServices, "during")).hasSize(1);
    }

    /**
     * A query whose answer has not begun may run twice, so the router sends it to another backend
     * server.
     */
    @Test
    void queryAtKilledSidecarIsRetriedElsewhere() {
        String path = "/havnebok/berths/killed";
        sPlainServices.forEach(service -> service.delayAnswers(1, NO_ANSWER_DELAY_MILLIS));
        CompletableFuture<Caller.Reply> reply =
                Caller.send(sRouter.port(), "GET", path, "", Map.of());
        Await.until("the query runs", () -> findServiceRunning(path) != null);
        StandIn first = findServiceRunning(path);
        sPlainServices.forEach(StandIn::clearFaults);
        first.sidecar().kill();
        assertThat(Caller.await(reply).status()).isEqualTo(OK);
    }

    /**
     * The sidecar is killed in the middle of an answer, and the output that it kept is lost. The
     * router closes the caller's connection without completing the answer: a caller would take a
     * truncated answer that ends properly for the complete one.
     */
    @Test
    void partialStreamOfKilledSidecarIsNotReportedComplete() {
        ChatStream chat = Caller.chat(sRouter, "killed-mid-stream").awaitFirstTokens();
        sEngine.sidecar().kill();
        assertThatThrownBy(chat::status).hasMessageContaining("closed");
        assertThat(sEngine.runsOfDigest(chat.digest())).hasSize(1);
    }

    /**
     * The sidecar is killed and restarted after it answered an order. A resend of the order gets
     * the result that it was already run.
     */
    @Test
    void resendAfterAnswerOfKilledSidecarIsAlreadyRun() {
        assertThat(Caller.await(Caller.order(sRouter, "after")).status()).isEqualTo(CREATED);
        killSidecarRunning("after").start();
        Caller.Reply again = Caller.await(Caller.order(sRouter, "after"));
        assertThat(again.code()).as(again.body()).isEqualTo(ResultCode.ALREADY_RUN.number());
        assertThat(StandIn.runsOfKey(sPlainServices, "after")).hasSize(1);
    }

    private static CompletableFuture<Caller.Reply> sendUnanswered(String key) {
        sPlainServices.forEach(service -> service.delayAnswers(1, NO_ANSWER_DELAY_MILLIS));
        CompletableFuture<Caller.Reply> reply = Caller.order(sRouter, key);
        Await.until("the order runs", () -> !StandIn.runsOfKey(sPlainServices, key).isEmpty());
        return reply;
    }

    private static FleetProcess killSidecarRunning(String key) {
        for (StandIn service : sPlainServices) {
            if (!service.runsOfKey(key).isEmpty()) {
                service.sidecar().kill();
                return service.sidecar();
            }
        }
        throw new AssertionError("no run of " + key);
    }

    private static StandIn findServiceRunning(String path) {
        return sPlainServices.stream()
                .filter(service -> !service.runsOfPath(path).isEmpty())
                .findFirst()
                .orElse(null);
    }
}
