package org.laurelweir.coordination;

import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.settings.SettingsAnswer;

/** The result of a command of the log. It is the same on every replica. */
public sealed interface CommandResult {
    /** Returns OK, or the reason why the command changed nothing. */
    ResultCode code();

    /** The result of a change of the settings. */
    record SettingsResult(SettingsAnswer answer) implements CommandResult {
        @Override
        public ResultCode code() {
            return answer.code();
        }
    }

    /**
     * The result of a claim.
     *
     * @param code OK if an attempt holds the key, either the one that claimed it or an earlier one
     * @param holder the attempt that holds the key, or null
     * @param target the backend server that the holder is sent to, or null
     * @param settled whether the result code of the holder is recorded
     * @param settledCode the result code of the holder, OK if none is recorded
     */
    record ClaimResult(
            ResultCode code,
            AttemptId holder,
            BackendRef target,
            boolean settled,
            ResultCode settledCode)
            implements CommandResult {
        static ClaimResult rejected(ResultCode code) {
            return new ClaimResult(code, null, null, false, ResultCode.OK);
        }
    }

    /** The result of recording the result code of a claim's holder. */
    record SettleResult(ResultCode code) implements CommandResult {}

    /** The result of an order to drain or undrain a backend server or a data centre. */
    record DrainResult(ResultCode code) implements CommandResult {}

    /** The result of recording that a backend server is draining or has left. */
    record DepartureResult(ResultCode code) implements CommandResult {}

    /**
     * The result of issuing a fencing token.
     *
     * @param fence the token, higher than all tokens issued for this backend server before
     */
    record FenceResult(ResultCode code, long fence) implements CommandResult {}
}
