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
 * Polls the settings in force at routers and records when a router returns to older ones. Each
 * change of a test sets the models of a service to one named generation-N, which routers list to
 * callers.
 */
public final class SettingsMonitor implements AutoCloseable {
    /** Prefix of the model name; the number N after it rises with each change. */
    public static final String MODEL_PREFIX = "generation-";

    private static final long POLL_INTERVAL_MILLIS = 25;

    private final ScheduledExecutorService mTimer = Executors.newSingleThreadScheduledExecutor();
    private final Map<String, Integer> mHighestGenerations = new ConcurrentHashMap<>();
    private volatile String mRegression = "";

    /** Starts to poll routers. */
    public SettingsMonitor(List<FleetProcess> routers) {
        for (FleetProcess r : routers) {
            mTimer.scheduleWithFixedDelay(
                    () -> poll(r), 0, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void poll(FleetProcess router) {
        generation(router).ifPresent(n -> record(router.name(), n));
    }

    private void record(String router, int generation) {
        int highest = mHighestGenerations.getOrDefault(router, 0);
        if (generation < highest) {
            mRegression = router + " regressed from generation " + highest + " to " + generation;
        }
        mHighestGenerations.put(router, Math.max(highest, generation));
    }

    /**
     * Returns the generation that a router lists; empty if the router does not answer or has no
     * settings yet.
     */
    public static Optional<Integer> generation(FleetProcess router) {
        try {
            Caller.Reply reply =
                    Caller.await(Caller.send(router.port(), "GET", "/v1/models", "", Map.of()));
            for (JsonNode model : reply.json().path("data")) {
                String id = model.path("id").asText();
                if (id.startsWith(MODEL_PREFIX)) {
                    return Optional.of(Integer.parseInt(id.substring(MODEL_PREFIX.length())));
                }
            }
        } catch (RuntimeException | AssertionError e) {
            // The router is down for a restart.
        }
        return Optional.empty();
    }

    /** Waits until every router lists a generation. */
    public void await(int generation, List<FleetProcess> routers) {
        Await.until(
                "generation "
                        + generation
                        + " on every router; highest so far: "
                        + mHighestGenerations,
                () -> routers.stream().allMatch(r -> hasGeneration(r, generation)));
    }

    private boolean hasGeneration(FleetProcess router, int generation) {
        return mHighestGenerations.getOrDefault(router.name(), 0) == generation;
    }

    /** Returns which router returned to an older generation, and from which; empty if none did. */
    public String regression() {
        return mRegression;
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
    }
}
