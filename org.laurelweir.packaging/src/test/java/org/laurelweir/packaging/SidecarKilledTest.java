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

/** A sidecar is killed before, during and after a request that it was sent. */
class SidecarKilledTest {
    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int ORDERS = 6;
    private static final long NEVER_MILLIS = 600_000;

    private static Fleet sFleet;
    private static FleetProcess sRouter;
    private static List<StandIn> sPlains;
    private static StandIn sEngine;

    @BeforeAll
    static void startFleet() {
        sFleet = Fleet.builder("sidecar-killed").start();
        sPlains = List.of(sFleet.startPlain("havnebok-1"), sFleet.startPlain("havnebok-2"));
        sEngine = sFleet.startEngine("seilhjerne-1");
        sFleet.awaitReady();
        sRouter = sFleet.process("router-1");
    }

    @BeforeEach
    void restartSidecars() {
        for (StandIn s : List.of(sPlains.get(0), sPlains.get(1), sEngine)) {
            if (!s.sidecar().isRunning()) {
                s.sidecar().start();
            }
            s.clearFaults();
        }
        sFleet.awaitServing(sRouter);
        // A restarted sidecar refuses what is meant for its earlier run until the router hears of
        // it.
        sFleet.awaitReached(sRouter, sPlains);
    }

    @AfterAll
    static void stopFleet() {
        sFleet.close();
    }

    /**
     * Every order is answered. The router still counts a killed sidecar in, and sends orders to it;
     * no connection can be had, so each is proved not to have left the router, and runs elsewhere.
     */
    @Test
    void ordersAfterKillRunOnceElsewhere() {
        sPlains.get(0).sidecar().kill();
        for (int i = 0; i < ORDERS; i++) {
            String key = "before-" + i;
            Caller.Reply reply = Caller.get(Caller.order(sRouter, key));
            assertThat(reply.status()).as(reply.body()).isEqualTo(CREATED);
            assertThat(StandIn.runsOfKey(sPlains, key)).hasSize(1);
        }
    }

    /**
     * The caller learns that the outcome is unknown, never that the order was not run. The sidecar
     * is killed while the order runs and nobody can tell any more how it ends; so the router
     * neither says "not run" nor sends the order anywhere else.
     */
    @Test
    void orderOfKilledSidecarIsUnknown() {
        CompletableFuture<Caller.Reply> reply = sendUnanswered("during");
        killSidecarThatRuns("during");
        assertThat(Caller.get(reply).code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN.number());
        assertThat(StandIn.runsOfKey(sPlains, "during")).hasSize(1);
        Caller.Reply again = Caller.get(Caller.order(sRouter, "during"));
        assertThat(again.code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN.number());
        assertThat(StandIn.runsOfKey(sPlains, "during")).hasSize(1);
    }

    /** A query that has not begun to be answered may run twice: the caller sees its answer. */
    @Test
    void queryOfKilledSidecarIsAnsweredElsewhere() {
        String path = "/havnebok/berths/killed";
        sPlains.forEach(p -> p.answerLate(1, NEVER_MILLIS));
        CompletableFuture<Caller.Reply> reply =
                Caller.send(sRouter.port(), "GET", path, "", Map.of());
        Await.until("a run", () -> runningQuery(path) != null);
        StandIn first = runningQuery(path);
        sPlains.forEach(StandIn::clearFaults);
        first.sidecar().kill();
        assertThat(Caller.get(reply).status()).isEqualTo(OK);
    }

    /**
     * The sidecar is killed in the middle of an answer, and what it kept is gone. The caller's
     * connection breaks: a shortened answer that ends well would be taken for the whole one.
     */
    @Test
    void streamOfKilledSidecarIsNotCalledWhole() {
        ChatStream chat = Caller.chat(sRouter, "killed-mid-stream").awaitBegin();
        sEngine.sidecar().kill();
        assertThatThrownBy(chat::status).hasMessageContaining("closed");
        assertThat(sEngine.runsOfDigest(chat.digest())).hasSize(1);
    }

    /** The order was answered, then its sidecar went. A resend learns that it was run. */
    @Test
    void resendAfterAnswerOfKilledSidecarIsAlreadyRun() {
        assertThat(Caller.get(Caller.order(sRouter, "after")).status()).isEqualTo(CREATED);
        killSidecarThatRuns("after").start();
        Caller.Reply again = Caller.get(Caller.order(sRouter, "after"));
        assertThat(again.code()).as(again.body()).isEqualTo(ResultCode.ALREADY_RUN.number());
        assertThat(StandIn.runsOfKey(sPlains, "after")).hasSize(1);
    }

    private static CompletableFuture<Caller.Reply> sendUnanswered(String key) {
        sPlains.forEach(p -> p.answerLate(1, NEVER_MILLIS));
        CompletableFuture<Caller.Reply> reply = Caller.order(sRouter, key);
        Await.until("a run", () -> !StandIn.runsOfKey(sPlains, key).isEmpty());
        return reply;
    }

    private static FleetProcess killSidecarThatRuns(String key) {
        for (StandIn p : sPlains) {
            if (!p.runsOfKey(key).isEmpty()) {
                p.sidecar().kill();
                return p.sidecar();
            }
        }
        throw new AssertionError("no run of " + key);
    }

    private static StandIn runningQuery(String path) {
        return sPlains.stream().filter(p -> !p.runsOfPath(path).isEmpty()).findFirst().orElse(null);
    }
}
