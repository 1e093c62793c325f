package org.laurelweir.packaging;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.laurelweir.junit.Await;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.packaging.fleet.Caller;
import org.laurelweir.packaging.fleet.ChatStream;
import org.laurelweir.packaging.fleet.Fleet;
import org.laurelweir.packaging.fleet.FleetProcess;
import org.laurelweir.packaging.fleet.StandIn;
import org.laurelweir.standin.Execution;
import org.laurelweir.standin.Execution.Outcome;

/** Checks how routers and sidecars handle an engine that is frozen and one that is at its limit. */
class EngineFailureTest {
    /** Uses more than half of the load that a single engine accepts. */
    private static final Map<String, Object> LARGE_ANSWER = Map.of("max_tokens", 6000);

    /** Small enough to be answered within {@link #SHORT_TIMEOUT}. */
    private static final Map<String, Object> SMALL_ANSWER = Map.of("max_tokens", 10);

    private static final Map<String, Object> MEDIUM_ANSWER = Map.of("max_tokens", 200);

    private static final Map<String, String> SHORT_TIMEOUT = Map.of("X-Timeout-Ms", "2500");

    /**
     * Long enough for an engine on a busy machine. A sidecar rejects a call if the engine's
     * measured speed cannot meet the call's deadline, and an engine that shares its cores took 50
     * ms per token.
     */
    private static final Map<String, String> MEDIUM_TIMEOUT = Map.of("X-Timeout-Ms", "30000");

    private static final Map<String, String> LONG_TIMEOUT = Map.of("X-Timeout-Ms", "3600000");
    private static final String TREE =
            "/region=vestkyst:\n  queue.max-requests: 0\n  deadline.max: 1h\n"
                    + "  bound.factor: 1.25\n  service.output-tokens: 6000";

    private static Fleet sFleet;
    private static FleetProcess sRouter;
    private static StandIn sEngine;

    @BeforeAll
    static void startFleet() {
        sFleet = Fleet.builder("engine").tree(TREE).start();
        sEngine = sFleet.startEngine("seilhjerne-1");
        sFleet.awaitReady();
        sRouter = sFleet.process("router-1");
    }

    @AfterEach
    void awaitIdle() {
        Await.until("every run ends", () -> sEngine.runningCount() == 0);
    }

    @AfterAll
    static void stopFleet() {
        sFleet.close();
    }

    /**
     * The engine accepts the chat and never answers. The caller gets an error at its deadline, and
     * the sidecar cancels the chat at the engine; without that the engine's slot would stay
     * occupied.
     */
    @Test
    void chatAtUnresponsiveEngineEndsAtDeadline() {
        sEngine.injectFault("{\"kind\":\"freeze\",\"count\":1}");
        ChatStream chat = Caller.chat(sRouter, "never-answered", SMALL_ANSWER, SHORT_TIMEOUT);
        assertThat(chat.status()).isEqualTo(ResultCode.DEADLINE_EXCEEDED.httpStatus());
        assertThat(chat.code()).isEqualTo(ResultCode.DEADLINE_EXCEEDED.number());
        Await.until("the run is cancelled", () -> outcome(chat) == Outcome.CANCELLED);
        assertThat(Caller.chat(sRouter, "next", SMALL_ANSWER, Map.of()).findFault()).isEmpty();
    }

    /**
     * The whole engine is frozen in the middle of an answer. The router cuts the answer and does
     * not complete it. When the engine resumes, the run ends: as cancelled, or as finished if the
     * stand-in counts the frozen time as working time.
     */
    @Test
    void partialAnswerOfFrozenEngineIsNotReportedComplete() {
        ChatStream chat =
                Caller.chat(sRouter, "frozen", MEDIUM_ANSWER, MEDIUM_TIMEOUT).awaitFirstTokens();
        assertThat(chat.isOpen()).isTrue();
        sEngine.process().freeze();
        try {
            Await.until("the answer ends", () -> !chat.isOpen());
            assertThat(chat.text()).doesNotContain("[DONE]");
        } finally {
            sEngine.process().resume();
        }
        Await.until("the run ends", () -> outcome(chat) != Outcome.RUNNING);
    }

    /**
     * The second caller is rejected at once, with a Retry-After header, while the first chat still
     * runs; the call is not queued until there is room. The first caller then closes its
     * connection, which frees the slot.
     */
    @Test
    void overloadIsRejectedAtOnceWithRetryAfter() {
        sEngine.injectFault("{\"kind\":\"freeze\",\"count\":1}");
        ChatStream first = Caller.chat(sRouter, "first", LARGE_ANSWER, LONG_TIMEOUT);
        Await.until("the first chat runs", () -> sEngine.runningCount() == 1);
        ChatStream second = Caller.chat(sRouter, "second", LARGE_ANSWER, LONG_TIMEOUT);
        assertThat(second.code()).as(second.text()).isEqualTo(ResultCode.OVERLOADED.number());
        assertThat(Integer.parseInt(second.retryAfter())).isPositive();
        assertThat(first.isOpen()).isTrue();
        assertThat(sEngine.runsOfDigest(second.digest())).isEmpty();
        first.cancel();
        Await.until("the run is cancelled", () -> outcome(first) == Outcome.CANCELLED);
        assertThat(Caller.chat(sRouter, "third", SMALL_ANSWER, Map.of()).findFault()).isEmpty();
    }

    /**
     * The engine's answers have neither a length nor chunks, so that the end of the connection is
     * all that ends them. One is cut within an event: the caller must not get it as a whole one.
     */
    @Test
    void streamThatItsConnectionCutsIsNotReportedComplete() {
        sEngine.injectFault("{\"kind\":\"unframed_cut\",\"count\":1,\"after\":3}");
        ChatStream cut = Caller.chat(sRouter, "cut", SMALL_ANSWER, MEDIUM_TIMEOUT);
        Await.until("the answer ends", () -> !cut.isOpen());
        assertThatThrownBy(cut::findFault).hasRootCauseInstanceOf(IOException.class);
        assertThat(cut.text()).doesNotContain("[DONE]");
        sEngine.injectFault("{\"kind\":\"unframed\",\"count\":1}");
        ChatStream whole = Caller.chat(sRouter, "whole", SMALL_ANSWER, MEDIUM_TIMEOUT);
        assertThat(whole.findFault()).isEmpty();
    }

    private static Outcome outcome(ChatStream chat) {
        List<Execution> runs = sEngine.runsOfDigest(chat.digest());
        return runs.isEmpty() ? null : runs.get(runs.size() - 1).outcome();
    }
}
