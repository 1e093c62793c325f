package org.laurelweir.packaging.fleet;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.laurelweir.standin.AdminEndpoints;
import org.laurelweir.standin.Execution;
import org.laurelweir.standin.Execution.Outcome;
import org.laurelweir.standin.Json;

/**
 * A backend server: a stand-in with its record of what really ran, and the sidecar beside it.
 *
 * @param process the stand-in
 * @param sidecar the sidecar beside it
 * @param relay what routers reach the sidecar through, or null
 * @param admin the path below which record and faults are reached
 */
public record StandIn(FleetProcess process, FleetProcess sidecar, Relay relay, String admin) {
    private static final String PLAIN = "/plain";

    /** Returns whether it is a plain service rather than an engine. */
    public boolean isPlain() {
        return admin.equals(PLAIN);
    }

    /** Returns every run so far, in order of start. */
    public List<Execution> executions() {
        Caller.Reply r =
                Caller.get(Caller.send(process.port(), "GET", admin + "/executions", "", Map.of()));
        byte[] json = r.body().getBytes(StandardCharsets.UTF_8);
        return Json.read(json, AdminEndpoints.Executions.class).executions();
    }

    /** Returns the runs of calls with an idempotency key. */
    public List<Execution> runsOfKey(String key) {
        return executions().stream().filter(e -> key.equals(e.idempotencyKey())).toList();
    }

    /** Returns the runs of calls with a digest. */
    public List<Execution> runsOfDigest(String digest) {
        return executions().stream().filter(e -> digest.equals(e.digest())).toList();
    }

    /** Returns the runs of calls by a path. */
    public List<Execution> runsOfPath(String path) {
        return executions().stream().filter(e -> path.equals(e.path())).toList();
    }

    /** Returns the runs of calls with an idempotency key at any of several backend servers. */
    public static List<Execution> runsOfKey(List<StandIn> all, String key) {
        return all.stream().flatMap(s -> s.runsOfKey(key).stream()).toList();
    }

    /** Returns how many runs have not ended. */
    public long running() {
        return executions().stream().filter(e -> e.outcome() == Outcome.RUNNING).count();
    }

    /** Asks for a fault by its JSON order. */
    public void fault(String order) {
        Caller.get(Caller.send(process.port(), "POST", admin + "/faults", order, Map.of()));
    }

    /** Asks that the next calls are answered late. */
    public void answerLate(int calls, long millis) {
        fault(String.format("{\"kind\":\"late\",\"count\":%d,\"delayMillis\":%d}", calls, millis));
    }

    /** Takes back the faults that have not been shown. */
    public void clearFaults() {
        Caller.get(Caller.send(process.port(), "DELETE", admin + "/faults", "", Map.of()));
    }
}
