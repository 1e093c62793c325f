package org.laurelweir.standin;

import java.time.Instant;
import java.util.List;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.standin.http.HttpExchange;

/** The calls by which a test reads the executions and asks for faults, under a prefix. */
public final class AdminEndpoints {
    private static final int OK = 200;

    private final String mExecutionsPath;
    private final String mFaultsPath;
    private final ExecutionLog mLog;
    private final FaultPlan mFaults;

    /**
     * The answer to a read of the executions.
     *
     * @param executions the newest runs, in order of start
     * @param dropped how many older runs are no longer held
     */
    public record Executions(List<Execution> executions, long dropped) {
        /** Returns how many runs there were so far. */
        public long started() {
            return dropped + executions.size();
        }

        /** Returns whether a run that started after so many others is no longer held. */
        public boolean isCutAfter(long before) {
            return dropped > before;
        }
    }

    /** The faults that are still to be shown. */
    public record Faults(List<Fault.Shown> faults) {}

    /** Creates the calls {@code PREFIX/executions} and {@code PREFIX/faults}. */
    public AdminEndpoints(String prefix, ExecutionLog log, FaultPlan faults) {
        mExecutionsPath = prefix + "/executions";
        mFaultsPath = prefix + "/faults";
        mLog = log;
        mFaults = faults;
    }

    /** Answers the call if it is one of these; returns whether it was. */
    public boolean handle(Instant now, HttpExchange call) {
        if (call.path().equals(mExecutionsPath)) {
            call.respond(OK, new Executions(mLog.list(), mLog.dropped()));
            return true;
        }
        if (call.path().equals(mFaultsPath)) {
            changeFaults(now, call);
            return true;
        }
        return false;
    }

    private void changeFaults(Instant now, HttpExchange call) {
        switch (call.method()) {
            case "GET" -> {}
            case "POST" -> mFaults.add(now, Json.read(call.body(), Fault.Order.class));
            case "DELETE" -> mFaults.clear();
            default -> throw new LaurelweirException(ResultCode.METHOD_NOT_ALLOWED, call.method());
        }
        call.respond(OK, new Faults(mFaults.list().stream().map(Fault::show).toList()));
    }
}
