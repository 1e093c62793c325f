package org.laurelweir.packaging;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.laurelweir.junit.Await;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.packaging.fleet.Caller;
import org.laurelweir.packaging.fleet.ChatStream;
import org.laurelweir.packaging.fleet.Fleet;
import org.laurelweir.packaging.fleet.FleetProcess;
import org.laurelweir.packaging.fleet.StandIn;

/** Connections between a router and a sidecar that go silent for good while new ones work. */
class SilentConnectionTest {
    private static final int CREATED = 201;
    private static final long LATE_MILLIS = 500;
    private static final long NEVER_MILLIS = 600_000;

    private static Fleet sFleet;
    private static FleetProcess sRouter;
    private static StandIn sEngine;
    private static StandIn sPlain;

    @BeforeAll
    static void startFleet() {
        sFleet = Fleet.builder("silent").relayed().start();
        sEngine = sFleet.startEngine("seilhjerne-1");
        sPlain = sFleet.startPlain("havnebok-1");
        sFleet.awaitReady();
        sRouter = sFleet.process("router-1");
    }

    @AfterAll
    static void stopFleet() {
        sFleet.close();
    }

    /**
     * The caller sees a pause and then the rest of the same answer. Half-way through, the frames to
     * the router stop arriving; the router misses them, opens a new connection and resumes behind
     * the last byte that it has. The engine runs the chat once.
     */
    @Test
    void streamGoesOnAfterItsFramesStopArriving() {
        ChatStream chat = Caller.chat(sRouter, "silent-back").awaitBegin();
        sEngine.relay().silenceBack();
        assertThat(chat.isOpen()).isTrue();
        assertThat(chat.findFault()).isEmpty();
        assertThat(sEngine.runsOfDigest(chat.digest())).hasSize(1);
    }

    /**
     * The caller sees the whole answer. Half-way through, what the router sends stops arriving: its
     * acknowledgements are lost, but that must neither cut the answer nor start it again.
     */
    @Test
    void streamOutlivesLostAcknowledgements() {
        ChatStream chat = Caller.chat(sRouter, "silent-towards").awaitBegin();
        sEngine.relay().silenceTowards();
        assertThat(chat.isOpen()).isTrue();
        assertThat(chat.findFault()).isEmpty();
        assertThat(sEngine.runsOfDigest(chat.digest())).hasSize(1);
    }

    /** As the two above, with both directions lost at once. */
    @Test
    void streamOutlivesItsConnection() {
        ChatStream chat = Caller.chat(sRouter, "silent-both").awaitBegin();
        sEngine.relay().silenceTowards();
        sEngine.relay().silenceBack();
        assertThat(chat.isOpen()).isTrue();
        assertThat(chat.findFault()).isEmpty();
        assertThat(sEngine.runsOfDigest(chat.digest())).hasSize(1);
    }

    /** The open connection is closed in the middle of the answer, as by a restarted firewall. */
    @Test
    void streamOutlivesCutConnection() {
        ChatStream chat = Caller.chat(sRouter, "cut").awaitBegin();
        sEngine.relay().cut();
        assertThat(chat.isOpen()).isTrue();
        assertThat(chat.findFault()).isEmpty();
        assertThat(sEngine.runsOfDigest(chat.digest())).hasSize(1);
    }

    /**
     * The caller is told that its order was not run, and its resend is answered. Meanwhile the
     * order stood in a connection that had lost the way to the sidecar, and arrives after all. The
     * router had asked over a new connection that the attempt never start: the sidecar remembers,
     * so that the late order is dropped. Without that it would run beside the resend.
     */
    @Test
    void orderThatArrivesAfterNotRunIsDropped() {
        sPlain.relay().holdTowards();
        Caller.Reply reply = Caller.get(Caller.order(sRouter, "held-back"));
        assertThat(reply.code()).as(reply.body()).isEqualTo(ResultCode.REVOKED.number());
        assertThat(sPlain.runsOfKey("held-back")).isEmpty();
        sPlain.relay().release();
        Caller.Reply again = Caller.get(Caller.order(sRouter, "held-back"));
        assertOnlyRun("held-back", again);
    }

    /**
     * An order runs, but its answer is lost with the way back. The router asks over a new
     * connection, learns that the attempt ran, and fetches that attempt's answer: a second one
     * would order twice.
     */
    @Test
    void orderWhoseAnswerIsLostRunsOnce() {
        sPlain.answerLate(1, LATE_MILLIS);
        CompletableFuture<Caller.Reply> reply = Caller.order(sRouter, "lost-answer");
        Await.until("a run", () -> !sPlain.runsOfKey("lost-answer").isEmpty());
        sPlain.relay().silenceBack();
        assertOnlyRun("lost-answer", Caller.get(reply));
    }

    /**
     * The sidecar is killed while an order runs, and is back before the router gives up. It knows
     * nothing of the attempt, yet must not say that it was never started: it says that it is
     * another incarnation, and the caller learns that the outcome is unknown.
     */
    @Test
    void orderOfRestartedSidecarIsUnknown() {
        sPlain.answerLate(1, NEVER_MILLIS);
        CompletableFuture<Caller.Reply> reply = Caller.order(sRouter, "restarted");
        Await.until("a run", () -> !sPlain.runsOfKey("restarted").isEmpty());
        sPlain.sidecar().kill();
        sPlain.sidecar().start();
        assertThat(Caller.get(reply).code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN.number());
        assertThat(sPlain.runsOfKey("restarted")).hasSize(1);
        sFleet.awaitServing(sRouter);
    }

    private static void assertOnlyRun(String key, Caller.Reply reply) {
        assertThat(sPlain.runsOfKey(key)).hasSize(1);
        assertThat(reply.status()).as(reply.body()).isEqualTo(CREATED);
        String execution = sPlain.runsOfKey(key).get(0).id();
        assertThat(reply.json().path("execution").asText()).isEqualTo(execution);
    }
}
