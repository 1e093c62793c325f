package org.laurelweir.packaging.fleet;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.laurelweir.standin.AdminEndpoints;
import org.laurelweir.standin.Execution;
import org.laurelweir.standin.Execution.Outcome;
import org.laurelweir.standin.Json;

/**
 * A backend server: a stand-in, which records every run, and the sidecar beside it.
 *
 * @param process the stand-in
 * @param sidecar the sidecar beside it
 * @param relay the relay through which routers reach the sidecar; null if there is none
 * @param adminPath the path prefix of the calls that read executions and inject faults
 */
public record StandIn(FleetProcess process, FleetProcess sidecar, Relay relay, String adminPath) {
    private static final String PLAIN = "/plain";

    /** Returns whether this is a plain service rather than an engine. */
    public boolean isPlain() {
        return adminPath.equals(PLAIN);
    }

    /** Returns the runs that the stand-in holds, in order of start. */
    public List<Execution> executions() {
        Caller.Reply r =
                Caller.await(
                        Caller.send(
                                process.port(), "GET", adminPath + "/executions", "", Map.of()));
        byte[] json = r.body().getBytes(StandardCharsets.UTF_8);
        return Json.read(json, AdminEndpoints.Executions.class).executions();
    }

    /** Returns the runs of calls with an idempotency key. */
    public List<Execution> runsOfKey(String key) {
        return executions().stream().filter(e -> key.equals(e.idempotencyKey())).toList();
    }

    /** Returns the runs of calls with a digest of the prompt or body. */
    public List<Execution> runsOfDigest(String digest) {
        return executions().stream().filter(e -> digest.equals(e.digest())).toList();
    }

    /** Returns the runs of calls to a path. */
    public List<Execution> runsOfPath(String path) {
        return executions().stream().filter(e -> path.equals(e.path())).toList();
    }

    /** Returns the runs of calls with an idempotency key at any of the given backend servers. */
    public static List<Execution> runsOfKey(List<StandIn> all, String key) {
        return all.stream().flatMap(s -> s.runsOfKey(key).stream()).toList();
    }

    /** Returns the number of runs that have not ended. */
    public long runningCount() {
        return executions().stream().filter(e -> e.outcome() == Outcome.RUNNING).count();
    }

    /**
     * Injects a fault.
     *
     * @param order the JSON body that describes the fault, see {@link
     *     org.laurelweir.standin.Fault.Order}
     */
    public void injectFault(String order) {
        Caller.await(Caller.send(process.port(), "POST", adminPath + "/faults", order, Map.of()));
    }

    /** Delays the answers to a number of next calls. */
    public void delayAnswers(int calls, long millis) {
        injectFault(
                String.format(
                        "{\"kind\":\"late\",\"count\":%d,\"delayMillis\":%d}", calls, millis));
    }

    /** Removes the injected faults that have not been applied. */
    public void clearFaults() {
        Caller.await(Caller.send(process.port(), "DELETE", adminPath + "/faults", "", Map.of()));
    }
}
