package org.laurelweir.packaging;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.laurelweir.junit.Await;
import org.laurelweir.packaging.fleet.Caller;
import org.laurelweir.packaging.fleet.ChatStream;
import org.laurelweir.packaging.fleet.Fleet;
import org.laurelweir.packaging.fleet.FleetProcess;
import org.laurelweir.packaging.fleet.StandIn;
import org.laurelweir.wire.v1.BackendState;
import org.laurelweir.wire.v1.DrainRequest;

/**
 * Checks that answers in progress complete while backend servers and routers drain, shut down or
 * freeze.
 */
class DrainAndShutdownTest {
    /** Exit status of a JVM that runs its shutdown hooks after SIGTERM; 137 would mean SIGKILL. */
    private static final int SIGTERM_EXIT_STATUS = 143;

    private static final int OK = 200;
    private static final int CODES_PER_GROUP = 1000;
    private static final int NOT_RUN_CODE_GROUP = 2;
    private static final int MAX_CHATS = 60;
    private static final int LATER_CHATS = 8;

    private static Fleet sFleet;
    private static List<FleetProcess> sRouters;
    private static List<StandIn> sEngines;
    private static int sChatCount;

    @BeforeAll
    static void startFleet() {
        sFleet = Fleet.builder("leaving").routers(2).start();
        sEngines =
                List.of(
                        sFleet.startEngine("seilhjerne-1"),
                        sFleet.startEngine("seilhjerne-2"),
                        sFleet.startEngine("seilhjerne-3"));
        sFleet.awaitReady();
        sRouters = List.of(sFleet.process("router-1"), sFleet.process("router-2"));
    }

    @BeforeEach
    void restartStoppedProcesses() {
        sEngines.stream().map(StandIn::sidecar).forEach(DrainAndShutdownTest::restart);
        sRouters.forEach(DrainAndShutdownTest::restart);
        sFleet.awaitReady();
    }

    private static void restart(FleetProcess process) {
        if (!process.isRunning()) {
            process.start();
        }
    }

    @AfterAll
    static void stopFleet() {
        sFleet.close();
    }

    /**
     * An operator drains a backend server. Its answers in progress complete, and other backend
     * servers answer new chats. The sidecar learns of the drain with its next exchange with control
     * and rejects new chats from then on, so routers that do not know of the drain yet cause no
     * error.
     */
    @Test
    void drainedBackendServerRejectsNewChatsAndCompletesRunningOnes() {
        StandIn drained = sEngines.get(0);
        List<ChatStream> inProgress = startChatsEverywhere();
        setDrain("seilhjerne-1", true);
        try {
            Await.until(
                    "control sees the drain",
                    () -> sFleet.backendCount(BackendState.DRAINING) == 1);
            assertRunsNoNewChats(drained);
            assertAllWhole(inProgress);
        } finally {
            setDrain("seilhjerne-1", false);
        }
        Await.until(
                "control sees the end of the drain",
                () -> sFleet.backendCount(BackendState.SERVING) == 3);
    }

    /**
     * A sidecar receives SIGTERM. It rejects new chats, reports the drain in its frames and to
     * control, and exits after the last answer in progress completes.
     */
    @Test
    void terminatedSidecarRejectsNewChatsAndCompletesRunningOnes() {
        StandIn drained = sEngines.get(1);
        List<ChatStream> inProgress = startChatsEverywhere();
        drained.sidecar().terminate();
        Await.until("control sees the drain", () -> sFleet.backendCount(BackendState.SERVING) == 2);
        assertRunsNoNewChats(drained);
        assertAllWhole(inProgress);
        assertThat(drained.sidecar().awaitExit()).isEqualTo(SIGTERM_EXIT_STATUS);
    }

    /**
     * A sidecar freezes with its connections open. Control misses its reports, counts it as
     * departed and informs the routers. Other backend servers answer new chats.
     */
    @Test
    void frozenSidecarReceivesNoNewChats() {
        StandIn frozen = sEngines.get(2);
        frozen.sidecar().freeze();
        try {
            Await.until(
                    "control sees the sidecar as departed",
                    () -> sFleet.backendCount(BackendState.SERVING) == 2);
            assertRunsNoNewChats(frozen);
        } finally {
            frozen.sidecar().resume();
        }
    }

    /**
     * A router receives SIGTERM. It accepts no new connection, completes the answers on the open
     * ones and then exits.
     */
    @Test
    void terminatedRouterCompletesRunningChats() {
        List<ChatStream> inProgress = startChatsEverywhere();
        sRouters.get(0).terminate();
        assertAllWhole(inProgress);
        assertThat(sRouters.get(0).awaitExit()).isEqualTo(SIGTERM_EXIT_STATUS);
    }

    /**
     * A router and two of three sidecars shut down at once. Answers in progress complete. A new
     * chat may be passed from one sidecar that drains to the other; it is answered completely or
     * not run.
     */
    @Test
    void concurrentShutdownsCompleteRunningChats() {
        List<ChatStream> inProgress = startChatsEverywhere();
        sRouters.get(0).terminate();
        sEngines.get(0).sidecar().terminate();
        sEngines.get(1).sidecar().terminate();
        List<ChatStream> newChats = new ArrayList<>();
        for (int i = 0; i < LATER_CHATS; i++) {
            newChats.add(chat(sRouters.get(1)));
        }
        assertAllWhole(inProgress);
        newChats.forEach(DrainAndShutdownTest::assertWholeOrNotRun);
        assertThat(sRouters.get(0).awaitExit()).isEqualTo(SIGTERM_EXIT_STATUS);
        assertThat(sEngines.get(0).sidecar().awaitExit()).isEqualTo(SIGTERM_EXIT_STATUS);
        assertThat(sEngines.get(1).sidecar().awaitExit()).isEqualTo(SIGTERM_EXIT_STATUS);
    }

    /** Starts chats through both routers until every engine runs at least one. */
    private static List<ChatStream> startChatsEverywhere() {
        List<ChatStream> inProgress = new ArrayList<>();
        while (sEngines.stream().anyMatch(e -> e.runningCount() == 0)) {
            assertThat(inProgress).hasSizeLessThan(MAX_CHATS);
            inProgress.add(chat(sRouters.get(inProgress.size() % 2)).awaitFirstTokens());
        }
        return inProgress;
    }

    private static ChatStream chat(FleetProcess router) {
        return Caller.chat(router, "leaving-" + sChatCount++);
    }

    private static void assertRunsNoNewChats(StandIn drained) {
        List<ChatStream> newChats = new ArrayList<>();
        for (int i = 0; i < LATER_CHATS; i++) {
            newChats.add(chat(sRouters.get(i % 2)));
        }
        assertAllWhole(newChats);
        for (ChatStream chat : newChats) {
            assertThat(drained.runsOfDigest(chat.digest())).isEmpty();
        }
    }

    private static void assertWholeOrNotRun(ChatStream chat) {
        if (chat.status() == OK) {
            assertAllWhole(List.of(chat));
            return;
        }
        assertThat(chat.code() / CODES_PER_GROUP).as(chat.text()).isEqualTo(NOT_RUN_CODE_GROUP);
        assertThat(runCount(chat)).isZero();
    }

    private static long runCount(ChatStream chat) {
        return sEngines.stream().mapToLong(e -> e.runsOfDigest(chat.digest()).size()).sum();
    }

    private static void assertAllWhole(List<ChatStream> chats) {
        for (ChatStream chat : chats) {
            assertThat(chat.findFault()).isEmpty();
            long runs =
                    sEngines.stream().mapToLong(e -> e.runsOfDigest(chat.digest()).size()).sum();
            assertThat(runs).isEqualTo(1);
        }
    }

    private static void setDrain(String backend, boolean drain) {
        DrainRequest request =
                DrainRequest.newBuilder()
                        .setBackend(backend)
                        .setDrain(drain)
                        .setAuthor("proofs")
                        .build();
        assertThat(sFleet.control().drain(request).getCode()).isZero();
    }
}
