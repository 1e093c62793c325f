package org.laurelweir.routing;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import net.openhft.hashing.LongHashFunction;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.lib.ResultCode;

/** Asks control for claims on idempotency keys and tells it how they ended. */
final class Claims {
    private static final LongHashFunction XXH3 = LongHashFunction.xx3();
    private static final byte SEPARATOR = 0;

    /**
     * Asks for the claim of the request's present attempt. The attempt is sent only once the claim
     * is granted: a resend on any router then finds it, and no second one is sent.
     */
    void claim(Step s, ActiveRequest r) {
        r.mClaims++;
        r.enter(ActiveRequest.Phase.CLAIMING, s.now().plus(r.policy().silence()));
        CallerRequest q = r.mRequest;
        s.emit(
                new RouterEffect.Claim(
                        r.mAttempt,
                        q.account(),
                        q.idempotencyKey(),
                        q.service(),
                        fingerprint(q.call()),
                        r.mTarget.ref(),
                        r.mReplaces,
                        retention(s, r)));
    }

    /**
     * The caller's time to ask again begins when the answer can come no more: a claim that ended
     * while its attempt still ran would let a resend run a second time.
     */
    private static Duration retention(Step s, ActiveRequest r) {
        Duration left = r.timeLeft(s.now());
        Duration retention = r.policy().claimRetention();
        return left.isNegative() ? retention : retention.plus(left);
    }

    /** Records how the attempt that holds the request's claim ended. */
    void settle(Step s, ActiveRequest r, ResultCode code) {
        // Of another's attempt this router can vouch for the whole answer only.
        if (r.mClaimHolder == null || (r.mFollowing && code != ResultCode.OK)) {
            return;
        }
        CallerRequest q = r.mRequest;
        s.emit(new RouterEffect.SettleClaim(r.mClaimHolder, q.account(), q.idempotencyKey(), code));
    }

    /** Returns a digest of what a call does: the same key with another call is refused. */
    static long fingerprint(AttemptRequest.Call call) {
        byte[] start = (call.method() + ' ' + call.path()).getBytes(StandardCharsets.UTF_8);
        byte[] all = new byte[start.length + 1 + call.body().length];
        System.arraycopy(start, 0, all, 0, start.length);
        all[start.length] = SEPARATOR;
        System.arraycopy(call.body(), 0, all, start.length + 1, call.body().length);
        return XXH3.hashBytes(all);
    }
}
