package org.laurelweir.coordination;

import java.time.Instant;
import org.laurelweir.coordination.CommandResult.ClaimResult;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.ResultCode;

/**
 * A claim: an idempotency key in use and the attempt that holds it.
 *
 * @param account the client account
 * @param key the idempotency key, unique within the account
 * @param fingerprint the fingerprint of the first request with this key
 * @param holder the only attempt that may run for this key
 * @param target the backend server that the holder is sent to
 * @param expires the time at which the claim expires, by the log's time
 * @param settledCode the result code of the holder, or null while it is unknown
 */
public record Claim(
        String account,
        String key,
        long fingerprint,
        AttemptId holder,
        BackendRef target,
        Instant expires,
        ResultCode settledCode) {

    /** Returns whether the result code of the holder is recorded. */
    public boolean settled() {
        return settledCode != null;
    }

    Claim withSettled(ResultCode code) {
        return new Claim(account, key, fingerprint, holder, target, expires, code);
    }

    ClaimResult toResult(ResultCode code) {
        ResultCode holderCode = settled() ? settledCode : ResultCode.OK;
        return new ClaimResult(code, holder, target, settled(), holderCode);
    }
}
