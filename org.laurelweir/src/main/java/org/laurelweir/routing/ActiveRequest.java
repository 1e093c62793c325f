package org.laurelweir.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.placement.ChatKey;

/**
 * A caller's request while it is in flight. The classes of this package share it and change its
 * fields.
 */
final class ActiveRequest {
    /** What the request waits for. */
    enum Phase {
        /** Waits for control to answer the claim on the idempotency key. */
        CLAIMING,
        /** Waits for the time of the next attempt; no attempt is running. */
        BACKING_OFF,
        /** Receives frames of the attempt. */
        STREAMING,
        /** Waits for a sidecar to report whether the attempt ever started. */
        REVOKING,
        /** Waits for the time of the next try to reconnect to the attempt. */
        RECONNECTING
    }

    /** The caller's number, which is also the request number in attempt ids. */
    final long mCaller;

    final CallerRequest mRequest;
    final Instant mDeadline;

    /** The chat's key; for a request without a chat a random key, which spreads such requests. */
    final ChatKey mChatKey;

    Phase mPhase = Phase.BACKING_OFF;

    /** When the phase times out. The streaming phase ends by {@code silenceTimeout} instead. */
    Instant mWakeAt = Instant.MAX;

    /**
     * The attempt whose output goes to the caller: an own one, or that of another caller's request
     * when {@link #mFollowing} is set.
     */
    AttemptId mAttempt;

    Target mTarget;

    /** The stream of the attempt, or 0 if there is none. */
    long mStream;

    /** Whether the stream resumes an attempt that began on another stream. */
    boolean mResumed;

    /** When the last frame arrived or the caller last consumed output. */
    Instant mLastActivityAt = Instant.MIN;

    /** Whether the sidecar is known to have accepted the attempt. */
    boolean mAccepted;

    boolean mHeadSent;

    /** Bytes of the answer's body that were forwarded to the caller. */
    long mForwardedBytes;

    /** Bytes of the answer's body that the caller consumed. */
    long mConsumedBytes;

    /** Own attempts so far, the current one included. */
    int mAttemptCount;

    int mRedirectCount;

    /** Own attempts after the first one, without those that followed a sidecar's redirect. */
    int mRetryCount;

    /** Tries to reconnect to the attempt since it last made progress. */
    int mRecoveryCount;

    /** Whether the length in an end frame has already differed from the bytes received. */
    boolean mEndMismatched;

    /** Whether any attempt ran or may have run. If so, no error to the caller may say "not run". */
    boolean mMayHaveRun;

    /** Whether the caller has its answer or is gone, so that only the outcome still matters. */
    boolean mDetached;

    /**
     * Whether the attempt belongs to another caller's request that holds the claim on the same key.
     */
    boolean mFollowing;

    /**
     * The attempt that is known never to run and whose claim the next attempt takes over, or null.
     */
    AttemptId mReplacedAttempt;

    /** The attempt that holds the claim as far as this router knows, or null. */
    AttemptId mClaimHolder;

    /**
     * Whether control has recorded that the claim's holder, another request's attempt, completed.
     */
    boolean mHolderCompleted;

    int mClaimCount;

    /** Why the last attempt failed. The caller receives this error if no attempt follows. */
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

    /**
     * Returns whether a further run is harmless and the caller has received nothing of an answer.
     */
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

    /** Makes a new own attempt the current one. */
    void startOwnAttempt(AttemptId attempt, Target target) {
        mAttempt = attempt;
        mTarget = target;
        mAccepted = false;
        mResumed = false;
        mFollowing = false;
        mRecoveryCount = 0;
        mTriedTargets.add(target.ref());
    }

    /** Makes the current attempt that of another request, which holds the claim on the same key. */
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
