package org.laurelweir.benchmarks.steps;

import java.time.Duration;
import java.util.List;
import org.laurelweir.admission.SidecarEvent;
import org.laurelweir.lib.AttemptId;

/** Measures the sidecar's steps and the heap size of its state. */
final class SidecarSteps {
    private static final int[] BACKENDS = {100, 1_000, 4_000};
    private static final int[] CHATS = {10_000, 100_000, 1_000_000};
    private static final int[] DIRECTORY_ENTRIES = {2_000, 4_000, 8_000};
    private static final int[] ATTEMPTS = {25, 100, 400};
    private static final int[] RUNNING_ATTEMPTS = {500, 1_000, 4_000};
    private static final int[] ENDED_ATTEMPTS = {5_000, 10_000, 20_000};
    private static final int DEFAULT_BACKENDS = 100;

    /**
     * Time between requests. An ended attempt's output is kept for 30 s, so it is dropped 100
     * requests later.
     */
    private static final Duration REQUEST_INTERVAL = Duration.ofMillis(300);

    private static final byte[] TOKEN_BYTES = new byte[180];

    private SidecarSteps() {}

    static void report(Report out) {
        out.heading("sidecar: steps");
        out.steps("request: begin, head, end, tick", "backends", BACKENDS, n -> request(n, 1_000));
        out.steps("request: begin, head, end, tick", "chats", CHATS, n -> request(1_000, n));
        out.steps("output piece, acknowledged", "attempts", ATTEMPTS, SidecarSteps::output);
        out.steps("tick (each 20 ms)", "attempts", ATTEMPTS, SidecarSteps::tick);
        out.steps("exchange without news", "backends", BACKENDS, SidecarSteps::exchange);
        out.steps("exchange with one change", "backends", BACKENDS, SidecarSteps::change);
        out.steps("question about one chat", "chats", CHATS, SidecarSteps::locateChat);
    }

    static void reportHeap(Report out) {
        out.heading("sidecar: heap of the state");
        out.heap(
                "backend server of its service",
                "backends",
                BACKENDS,
                n -> () -> withDirectory(n, 0));
        out.heap(
                "chat that sits elsewhere",
                "chats",
                DIRECTORY_ENTRIES,
                n -> () -> withDirectory(10, n));
        out.heap(
                "attempt that runs",
                "attempts",
                RUNNING_ATTEMPTS,
                n -> () -> withRunningAttempts(n));
        out.heap(
                "attempt that ended and its chat",
                "attempts",
                ENDED_ATTEMPTS,
                n -> () -> withEndedAttempts(n));
    }

    private static SidecarDriver withDirectory(int backends, int chats) {
        SidecarDriver sidecar = new SidecarDriver(backends);
        sidecar.receiveHandover(chats);
        return sidecar;
    }

    private static SidecarDriver withRunningAttempts(int attempts) {
        SidecarDriver sidecar = new SidecarDriver(DEFAULT_BACKENDS);
        for (int i = 0; i < attempts; i++) {
            sidecar.startAttempt(i);
        }
        return sidecar;
    }

    /**
     * Returns a sidecar that has dropped the output of its ended attempts. It still holds the ids
     * of the attempts and their chats.
     */
    private static SidecarDriver withEndedAttempts(int attempts) {
        SidecarDriver sidecar = new SidecarDriver(DEFAULT_BACKENDS);
        for (int i = 0; i < attempts; i++) {
            sidecar.finishAttempt(sidecar.startAttempt(i));
        }
        sidecar.tick(Duration.ofMinutes(1));
        return sidecar;
    }

    private static Runnable request(int backends, int chats) {
        SidecarDriver sidecar = withDirectory(backends, chats);
        long[] chat = {0};
        return () -> {
            sidecar.tick(REQUEST_INTERVAL);
            sidecar.exchange(false, List.of());
            sidecar.finishAttempt(sidecar.startAttempt(chat[0]++ % chats));
        };
    }

    private static Runnable output(int attempts) {
        SidecarDriver sidecar = withRunningAttempts(attempts);
        AttemptId id = sidecar.startAttempt(0);
        long[] end = {0};
        return () -> {
            end[0] += TOKEN_BYTES.length;
            sidecar.output(id, TOKEN_BYTES, end[0]);
        };
    }

    private static Runnable tick(int attempts) {
        SidecarDriver sidecar = withRunningAttempts(attempts);
        return () -> sidecar.tick(Duration.ofNanos(1));
    }

    private static Runnable exchange(int backends) {
        SidecarDriver sidecar = withDirectory(backends, 1_000);
        return () -> sidecar.exchange(false, List.of());
    }

    private static Runnable change(int backends) {
        SidecarDriver sidecar = withDirectory(backends, 1_000);
        int[] restarts = {1};
        return () -> {
            int backend = 1 + restarts[0]++ % (backends - 1);
            // The new incarnation makes the server a new candidate.
            sidecar.exchange(
                    false,
                    List.of(SampleData.restarted(backend, SampleData.service(0), restarts[0])));
        };
    }

    private static Runnable locateChat(int chats) {
        SidecarDriver sidecar = withDirectory(DEFAULT_BACKENDS, chats);
        long[] chat = {0};
        return () ->
                sidecar.step(
                        new SidecarEvent.LocateChatsRequested(
                                1, List.of(SampleData.chat(chat[0]++ % chats))));
    }
}
