package org.laurelweir.routing;

import java.util.HashMap;
import java.util.Map;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.ResultCode;

/** A fake of control's claims, without a replicated log. */
final class FakeControl {
    private final Map<String, Claim> mClaims = new HashMap<>();

    private static final class Claim {
        private long mFingerprint;
        private AttemptId mHolder;
        private BackendRef mTarget;
        private ResultCode mSettledCode;
    }

    RouterEvent.ClaimAnswered claim(RouterEffect.Claim e) {
        Claim c = mClaims.get(e.key());
        if (c != null && c.mFingerprint != e.fingerprint()) {
            return answer(e, ResultCode.IDEMPOTENCY_KEY_REUSED, c);
        }
        if (c == null || (c.mHolder.equals(e.replaces()) && c.mSettledCode == null)) {
            c = new Claim();
            c.mFingerprint = e.fingerprint();
            c.mHolder = e.attempt();
            c.mTarget = e.target();
            mClaims.put(e.key(), c);
        }
        return answer(e, ResultCode.OK, c);
    }

    private static RouterEvent.ClaimAnswered answer(
            RouterEffect.Claim e, ResultCode code, Claim c) {
        ResultCode settled = c.mSettledCode == null ? ResultCode.OK : c.mSettledCode;
        return new RouterEvent.ClaimAnswered(
                e.attempt(), code, c.mHolder, c.mTarget, c.mSettledCode != null, settled);
    }

    void settle(RouterEffect.SettleClaim e) {
        Claim c = mClaims.get(e.key());
        if (c == null || !c.mHolder.equals(e.attempt()) || c.mSettledCode != null) {
            return;
        }
        if (e.code().isNotRun()) {
            mClaims.remove(e.key());
        } else {
            c.mSettledCode = e.code();
        }
    }
}
