package org.laurelweir.benchmarks.steps;

import java.time.Duration;
import java.util.List;
import org.laurelweir.admission.SidecarEvent;
import org.laurelweir.lib.AttemptId;

/** The sidecar's steps and state. */
final class SidecarSteps {
    private static final int[] BACKENDS = {100, 1_000, 4_000};
    private static final int[] CHATS = {10_000, 100_000, 1_000_000};
    private static final int[] DIRECTORY = {2_000, 4_000, 8_000};
    private static final int[] ATTEMPTS = {25, 100, 400};
    private static final int[] RUNNING = {500, 1_000, 4_000};
    private static final int[] ENDED = {5_000, 10_000, 20_000};
    private static final int USUAL_BACKENDS = 100;

    /** So that an ended attempt's output, kept for 30 s, goes a hundred requests later. */
    private static final Duration BETWEEN_REQUESTS = Duration.ofMillis(300);

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
        out.steps("question about one chat", "chats", CHATS, SidecarSteps::question);
    }

    static void reportHeap(Report out) {
        out.heading("sidecar: heap of the state");
        out.heap("backend server of its service", "backends", BACKENDS, n -> () -> sidecar(n, 0));
        out.heap("chat that sits elsewhere", "chats", DIRECTORY, n -> () -> sidecar(10, n));
        out.heap("attempt that runs", "attempts", RUNNING, n -> () -> running(n));
        out.heap("attempt that ended and its chat", "attempts", ENDED, n -> () -> ended(n));
    }

    private static SidecarDriver sidecar(int backends, int chats) {
        SidecarDriver sidecar = new SidecarDriver(backends);
        sidecar.takeOver(chats);
        return sidecar;
    }

    private static SidecarDriver running(int attempts) {
        SidecarDriver sidecar = new SidecarDriver(USUAL_BACKENDS);
        for (int i = 0; i < attempts; i++) {
            sidecar.begin(i);
        }
        return sidecar;
    }

    /** Its attempts' output is gone; what is left is the memory of their ids and of the chats. */
    private static SidecarDriver ended(int attempts) {
        SidecarDriver sidecar = new SidecarDriver(USUAL_BACKENDS);
        for (int i = 0; i < attempts; i++) {
            sidecar.finish(sidecar.begin(i));
        }
        sidecar.tick(Duration.ofMinutes(1));
        return sidecar;
    }

    private static Runnable request(int backends, int chats) {
        SidecarDriver sidecar = sidecar(backends, chats);
        long[] chat = {0};
        return () -> {
            sidecar.tick(BETWEEN_REQUESTS);
            sidecar.exchange(false, List.of());
            sidecar.finish(sidecar.begin(chat[0]++ % chats));
        };
    }

    private static Runnable output(int attempts) {
        SidecarDriver sidecar = running(attempts);
        AttemptId id = sidecar.begin(0);
        long[] end = {0};
        return () -> {
            end[0] += TOKEN_BYTES.length;
            sidecar.output(id, TOKEN_BYTES, end[0]);
        };
    }

    private static Runnable tick(int attempts) {
        SidecarDriver sidecar = running(attempts);
        return () -> sidecar.tick(Duration.ofNanos(1));
    }

    private static Runnable exchange(int backends) {
        SidecarDriver sidecar = sidecar(backends, 1_000);
        return () -> sidecar.exchange(false, List.of());
    }

    private static Runnable change(int backends) {
        SidecarDriver sidecar = sidecar(backends, 1_000);
        int[] session = {1};
        return () -> {
            int number = 1 + session[0]++ % (backends - 1);
            // The incarnation makes it another candidate.
            sidecar.exchange(
                    false, List.of(Samples.restarted(number, Samples.service(0), session[0])));
        };
    }

    private static Runnable question(int chats) {
        SidecarDriver sidecar = sidecar(USUAL_BACKENDS, chats);
        long[] chat = {0};
        return () ->
                sidecar.step(
                        new SidecarEvent.LocateChatsRequested(
                                1, List.of(Samples.chat(chat[0]++ % chats))));
    }
}
