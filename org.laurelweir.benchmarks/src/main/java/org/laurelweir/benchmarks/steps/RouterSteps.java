package org.laurelweir.benchmarks.steps;

import java.time.Duration;
import java.util.List;
import org.laurelweir.attempt.Frame;
import org.laurelweir.routing.RouterEffect;

/** Measures the router's steps and the heap size of its state. */
final class RouterSteps {
    private static final int[] BACKENDS = {100, 1_000, 4_000};
    private static final int[] CHATS = {10_000, 100_000, 1_000_000};
    private static final int[] REQUESTS = {100, 600, 2_400};
    private static final int CHAT_LOCATIONS = 10_000;

    /** The interval at which the reducer checks its timers. */
    private static final Duration TICK_INTERVAL = Duration.ofMillis(10);

    private static final byte[] TOKEN_BYTES = new byte[180];

    private RouterSteps() {}

    static void report(Report out) {
        out.heading("router: steps");
        out.steps("request: place, head, end", "backends", BACKENDS, RouterSteps::request);
        out.steps("request: place, head, end", "chats", CHATS, RouterSteps::requestOfChats);
        out.steps("output frame, taken by the caller", "requests", REQUESTS, RouterSteps::output);
        out.steps("timers looked at (each 10 ms)", "requests", REQUESTS, RouterSteps::timers);
        out.steps("exchange without news", "backends", BACKENDS, RouterSteps::exchange);
        out.steps("exchange with one change", "backends", BACKENDS, RouterSteps::change);
    }

    static void reportHeap(Report out) {
        out.heading("router: heap of the state");
        out.heap("backend server", "backends", BACKENDS, n -> () -> new RouterDriver(n, 2));
        out.heap("seat of a chat", "chats", CHATS, n -> () -> withChatLocations(10, n));
        out.heap("request in flight", "requests", REQUESTS, n -> () -> withRunningRequests(10, n));
    }

    private static RouterDriver withChatLocations(int backends, int chats) {
        RouterDriver router = new RouterDriver(backends, 2 * chats + 2);
        for (int i = 0; i < chats; i++) {
            router.runRequest(i);
        }
        return router;
    }

    private static RouterDriver withRunningRequests(int backends, int requests) {
        RouterDriver router = new RouterDriver(backends, CHAT_LOCATIONS);
        for (int i = 0; i < requests; i++) {
            router.receiveFrame(router.receiveRequest(i), new Frame.Head(200, List.of()));
        }
        return router;
    }

    private static Runnable request(int backends) {
        RouterDriver router = new RouterDriver(backends, 2 * CHAT_LOCATIONS);
        long[] chat = {0};
        return () -> router.runRequest(chat[0]++ % CHAT_LOCATIONS);
    }

    private static Runnable requestOfChats(int chats) {
        RouterDriver router = withChatLocations(1_000, chats);
        long[] chat = {0};
        return () -> router.runRequest(chat[0]++ % chats);
    }

    private static Runnable output(int requests) {
        RouterDriver router = withRunningRequests(1_000, requests);
        RouterEffect.BeginAttempt attempt = router.receiveRequest(0);
        long caller = attempt.request().id().request();
        router.receiveFrame(attempt, new Frame.Head(200, List.of()));
        long[] offset = {0};
        return () -> {
            router.receiveFrame(attempt, new Frame.Data(offset[0], TOKEN_BYTES));
            offset[0] += TOKEN_BYTES.length;
            router.consumeOutput(caller, offset[0]);
        };
    }

    private static Runnable timers(int requests) {
        RouterDriver router = withRunningRequests(1_000, requests);
        return () -> router.tick(TICK_INTERVAL);
    }

    private static Runnable exchange(int backends) {
        RouterDriver router = new RouterDriver(backends, CHAT_LOCATIONS);
        // Enough requests that every backend server answers and leaves a load hint.
        for (int i = 0; i < 10 * backends; i++) {
            router.runRequest(i);
        }
        return () -> router.exchange(false, List.of());
    }

    private static Runnable change(int backends) {
        RouterDriver router = new RouterDriver(backends, CHAT_LOCATIONS);
        int[] restarts = {1};
        return () -> {
            int backend = restarts[0]++ % backends;
            router.exchange(
                    false,
                    List.of(SampleData.restarted(backend, SampleData.service(0), restarts[0])));
        };
    }
}
