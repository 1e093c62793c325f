package org.laurelweir.standin;

import java.time.Instant;
import java.util.List;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.standin.http.HttpExchange;

/** The HTTP calls by which a test reads the executions of a stand-in and injects faults. */
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
     * @param dropped the number of older runs that were evicted from memory
     */
    public record Executions(List<Execution> executions, long dropped) {
        /** Returns the number of runs that have started. */
        public long started() {
            return dropped + executions.size();
        }

        /** Returns whether any run after the first {@code before} runs was evicted. */
        public boolean lacksRunsAfter(long before) {
            return dropped > before;
        }
    }

    /** The injected faults that have not been applied in full. */
    public record Faults(List<Fault.Shown> faults) {}

    /** Creates the handler of the calls {@code PREFIX/executions} and {@code PREFIX/faults}. */
    public AdminEndpoints(String prefix, ExecutionLog log, FaultPlan faults) {
        mExecutionsPath = prefix + "/executions";
        mFaultsPath = prefix + "/faults";
        mLog = log;
        mFaults = faults;
    }

    /** Answers the call if its path is one of these; returns whether it is. */
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
        call.respond(OK, new Faults(mFaults.list().stream().map(Fault::toShown).toList()));
    }
}
