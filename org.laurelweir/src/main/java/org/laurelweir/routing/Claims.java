package org.laurelweir.routing;

import java.time.Duration;
import org.laurelweir.lib.ResultCode;

/** Asks control for claims on idempotency keys and tells it how they ended. */
final class Claims {
    /**
     * Asks for the claim of the request's present attempt. The attempt is sent only once the claim
     * is granted: a resend on any router then finds it, and no second one is sent.
     */
    void claim(Step s, ActiveRequest r) {
        r.mClaimCount++;
        r.enterPhase(ActiveRequest.Phase.CLAIMING, s.now().plus(r.policy().silenceTimeout()));
        CallerRequest q = r.mRequest;
        s.emit(
                new RouterEffect.Claim(
                        r.mAttempt,
                        q.account(),
                        q.idempotencyKey(),
                        q.service(),
                        q.call().fingerprint(),
                        r.mTarget.ref(),
                        r.mReplacedAttempt,
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
}
