package org.laurelweir.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.placement.ChatKey;

/** One caller's request while it is in flight; the classes of this package share it. */
final class ActiveRequest {
    /** What the request waits for. */
    enum Phase {
        /** The claim on its idempotency key. */
        CLAIMING,
        /** The time of its next attempt; nothing of it runs. */
        BACKING_OFF,
        /** Frames of its attempt. */
        STREAMING,
        /** A sidecar's word on whether its attempt ever started. */
        REVOKING,
        /** The time of the next try to reach its attempt. */
        RECONNECTING
    }

    /** The caller's number; it is also the request's number in attempt ids. */
    final long mCaller;

    final CallerRequest mRequest;
    final Instant mDeadline;

    /** The chat's key; a request of no chat has one made up, which spreads such requests. */
    final ChatKey mChatKey;

    Phase mPhase = Phase.BACKING_OFF;

    /** When the phase is over by itself; while streaming it is the silence that counts. */
    Instant mWakeAt = Instant.MAX;

    /** The attempt whose output goes to the caller: an own one or, when following, another's. */
    AttemptId mAttempt;

    Target mTarget;

    /** The stream of the attempt, or 0. */
    long mStream;

    /** Whether the stream follows an attempt that was begun over another one. */
    boolean mResumed;

    /** When the last frame came, or when the caller last kept the stream from being read. */
    Instant mLastActivityAt = Instant.MIN;

    /** Whether the sidecar is known to have taken the attempt. */
    boolean mAccepted;

    boolean mHeadSent;

    /** Bytes of the answer's body passed on. */
    long mForwardedBytes;

    /** Bytes of the answer's body that the caller took. */
    long mConsumedBytes;

    /** Own attempts so far. */
    int mAttemptCount;

    int mRedirectCount;

    /** Own attempts beyond the first that no sidecar asked for. */
    int mRetryCount;

    /** Tries to reach the attempt again since it last showed progress. */
    int mRecoveryCount;

    /** Whether an answer's end has contradicted what was received. */
    boolean mEndMismatched;

    /** Whether any attempt at the request ran or may have run: it is never called "not run". */
    boolean mMayHaveRun;

    /** Whether the caller has been answered or is gone, and only the outcome is still of use. */
    boolean mDetached;

    /** Whether the attempt is another's that holds the claim on the same key. */
    boolean mFollowing;

    /** The attempt that is proved never to run and gives its claim to the next, or null. */
    AttemptId mReplacedAttempt;

    /** The attempt that holds the claim as far as this router knows, or null. */
    AttemptId mClaimHolder;

    /** Whether control has recorded that the claim's holder, another's attempt, ran to its end. */
    boolean mHolderCompleted;

    int mClaimCount;

    /** Why the last attempt failed; what the caller is told if none follows. */
    Failure mLastFailure;

    final Set<BackendRef> mTriedTargets = new HashSet<>();

    ActiveRequest(long caller, CallerRequest request, Instant now, ChatKey key) {
        mCaller = caller;
        mRequest = request;
        mDeadline = now.plus(request.deadline());
        mChatKey = key;
    }

    RequestPolicy policy() {
        return mRequest.policy();
    }

    boolean needsClaim() {
        return !mRequest.idempotent() && !mRequest.idempotencyKey().isEmpty();
    }

    /** Whether running it once more is harmless, and the caller has seen nothing of an answer. */
    boolean mayRunAgain() {
        return mRequest.idempotent() && !mHeadSent;
    }

    Duration timeLeft(Instant now) {
        return Duration.between(now, mDeadline);
    }

    void enterPhase(Phase phase, Instant wakeAt) {
        mPhase = phase;
        mWakeAt = wakeAt;
    }

    /** Turns to a new own attempt. */
    void startOwnAttempt(AttemptId attempt, Target target) {
        mAttempt = attempt;
        mTarget = target;
        mAccepted = false;
        mResumed = false;
        mFollowing = false;
        mRecoveryCount = 0;
        mTriedTargets.add(target.ref());
    }

    /** Turns to another's attempt, which holds the claim on the same key. */
    void followAttempt(AttemptId holder, Target target) {
        mAttempt = holder;
        mTarget = target;
        mAccepted = false;
        mFollowing = true;
        mClaimHolder = holder;
        mMayHaveRun = true;
        mRecoveryCount = 0;
    }
}
