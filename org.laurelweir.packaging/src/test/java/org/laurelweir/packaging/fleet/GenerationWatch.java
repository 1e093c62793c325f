package org.laurelweir.packaging.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.laurelweir.junit.Await;

/**
 * Asks routers all the time which settings are in force, and notes when one goes back. Each change
 * of a test sets the models of a service to one named generation-N, which routers list to callers.
 */
public final class GenerationWatch implements AutoCloseable {
    /** Begins the name of the model whose number rises with each change. */
    public static final String MODEL = "generation-";

    private static final long PERIOD_MILLIS = 25;

    private final ScheduledExecutorService mTimer = Executors.newSingleThreadScheduledExecutor();
    private final Map<String, Integer> mSeen = new ConcurrentHashMap<>();
    private volatile String mFault = "";

    /** Begins to ask. */
    public GenerationWatch(List<FleetProcess> routers) {
        for (FleetProcess r : routers) {
            mTimer.scheduleWithFixedDelay(() -> ask(r), 0, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void ask(FleetProcess router) {
        generation(router).ifPresent(n -> note(router.name(), n));
    }

    private void note(String router, int generation) {
        int before = mSeen.getOrDefault(router, 0);
        if (generation < before) {
            mFault = router + " went back from " + before + " to " + generation;
        }
        mSeen.put(router, Math.max(before, generation));
    }

    /** Returns what a router shows now; nothing if it does not answer, or knows no settings yet. */
    public static Optional<Integer> generation(FleetProcess router) {
        try {
            Caller.Reply reply =
                    Caller.get(Caller.send(router.port(), "GET", "/v1/models", "", Map.of()));
            for (JsonNode model : reply.json().path("data")) {
                String id = model.path("id").asText();
                if (id.startsWith(MODEL)) {
                    return Optional.of(Integer.parseInt(id.substring(MODEL.length())));
                }
            }
        } catch (RuntimeException | AssertionError e) {
            // The router is being restarted.
        }
        return Optional.empty();
    }

    /** Returns once every router shows a generation. */
    public void await(int generation, List<FleetProcess> routers) {
        Await.until(
                "generation " + generation + " on every router; seen " + mSeen,
                () -> routers.stream().allMatch(r -> isAt(r, generation)));
    }

    private boolean isAt(FleetProcess router, int generation) {
        return mSeen.getOrDefault(router.name(), 0) == generation;
    }

    /** Returns which router went back, or an empty text. */
    public String fault() {
        return mFault;
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
    }
}
