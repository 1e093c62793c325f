package org.laurelweir.coordination;

import java.time.Instant;
import org.laurelweir.coordination.CommandResult.ClaimResult;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.ResultCode;

/**
 * One idempotency key in use.
 *
 * @param account the client account
 * @param key the key, unique within the account
 * @param fingerprint of the request that came under the key first
 * @param holder the one attempt that may run
 * @param target where the holder is sent
 * @param expires when the key is forgotten, by the log's time
 * @param settledCode how the holder ended, or null
 */
public record Claim(
        String account,
        String key,
        long fingerprint,
        AttemptId holder,
        BackendRef target,
        Instant expires,
        ResultCode settledCode) {

    /** Returns whether it is known how the holder ended. */
    public boolean settled() {
        return settledCode != null;
    }

    Claim withSettled(ResultCode code) {
        return new Claim(account, key, fingerprint, holder, target, expires, code);
    }

    ClaimResult toResult(ResultCode code) {
        ResultCode end = settled() ? settledCode : ResultCode.OK;
        return new ClaimResult(code, holder, target, settled(), end);
    }
}
