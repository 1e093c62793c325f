package org.laurelweir.routing;

import java.time.Duration;
import org.laurelweir.lib.ResultCode;

/** Requests claims on idempotency keys from control, and records how they ended. */
final class Claims {
    /**
     * Requests the claim for the request's current attempt. The attempt is sent only after control
     * has granted the claim: a resend through any router then finds the claim and starts no second
     * attempt.
     */
    void claim(Step s, ActiveRequest r) {
        r.mClaimCount++;
        r.enterPhase(ActiveRequest.Phase.CLAIMING, s.now().plus(r.policy().silenceTimeout()));
        CallerRequest request = r.mRequest;
        s.emit(
                new RouterEffect.Claim(
                        r.mAttempt,
                        request.account(),
                        request.idempotencyKey(),
                        request.service(),
                        request.call().fingerprint(),
                        r.mTarget.ref(),
                        r.mReplacedAttempt,
                        retention(s, r)));
    }

    /**
     * Returns the retention that starts at the request's deadline, after which no answer can
     * arrive. A claim that expired while its attempt still ran would let a resend run a second
     * time.
     */
    private static Duration retention(Step s, ActiveRequest r) {
        Duration left = r.timeLeft(s.now());
        Duration retention = r.policy().claimRetention();
        return left.isNegative() ? retention : retention.plus(left);
    }

    /** Records how the attempt that holds the request's claim ended. */
    void settle(Step s, ActiveRequest r, ResultCode code) {
        // This router can confirm the end of another request's attempt only by its complete answer.
        if (r.mClaimHolder == null || (r.mFollowing && code != ResultCode.OK)) {
            return;
        }
        CallerRequest request = r.mRequest;
        s.emit(
                new RouterEffect.SettleClaim(
                        r.mClaimHolder, request.account(), request.idempotencyKey(), code));
    }
}
