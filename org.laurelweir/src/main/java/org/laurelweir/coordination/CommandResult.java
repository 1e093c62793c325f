package org.laurelweir.coordination;

import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.settings.SettingsAnswer;

/** What a command of the log came to; the same on every replica. */
public sealed interface CommandResult {
    /** Returns OK, or why the command changed nothing. */
    ResultCode code();

    /** The end of a change of settings. */
    record SettingsResult(SettingsAnswer answer) implements CommandResult {
        @Override
        public ResultCode code() {
            return answer.code();
        }
    }

    /**
     * The end of a claim.
     *
     * @param code OK where some attempt holds the key: the one that asked, or another before it
     * @param holder the attempt that holds the key, or null
     * @param target where the holder is sent, or null
     * @param settled whether it is known how the holder ended
     * @param settledCode how it ended
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

    /** The end of recording how a claimed attempt ended. */
    record SettleResult(ResultCode code) implements CommandResult {}

    /** The end of an order to drain or undrain. */
    record DrainResult(ResultCode code) implements CommandResult {}

    /**
     * The end of asking for a fencing number.
     *
     * @param fence the number, higher than every one given for this backend server before
     */
    record FenceResult(ResultCode code, long fence) implements CommandResult {}
}
