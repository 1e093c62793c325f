package org.laurelweir.direct;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.laurelweir.attempt.Header;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.quarantine.RequestKey;

/** One caller's request from its arrival to its final answer, with the call under way. */
final class ActiveRequest {
    private static final BackendRef NO_BACKEND = new BackendRef("", 0);

    final long mCaller;
    final RoutedRequest mRequest;
    final String mService;
    final Instant mDeadline;
    final EventFramer mFramer = new EventFramer();

    /** Backend servers that were tried, the present one included. */
    final Set<String> mTriedServers = new HashSet<>();

    /** The call under way, or 0. */
    long mCall;

    /** The backend server of the present or the last call. */
    BackendRef mBackend = NO_BACKEND;

    /** When the present or the last call began. */
    Instant mCallStart = Instant.MIN;

    Instant mLastActivity = Instant.MIN;

    /** Backend servers that may have received the request. */
    int mAttempts;

    /** Whether some backend server may have run the request. */
    boolean mMayHaveRun;

    /** Whether the last call met another server than the one it was meant for. */
    boolean mMisdirected;

    /** Whether the present call's answer has begun. */
    boolean mHeadReceived;

    /** Whether the caller has been sent the head of a stream. */
    boolean mHeadSent;

    /** Whether nobody waits for the answer any more. */
    boolean mDetached;

    int mStatus;
    List<Header> mHeaders = List.of();
    ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private RequestKey mKey;

    ActiveRequest(long caller, RoutedRequest request, String service, Instant now) {
        mCaller = caller;
        mRequest = request;
        mService = service;
        mDeadline = now.plus(request.timeLeft());
    }

    Route route() {
        return mRequest.route();
    }

    /** Returns what the request is known by when it comes again. */
    RequestKey key() {
        if (mKey == null) {
            mKey = RequestKey.of(mRequest.account(), mRequest.call());
        }
        return mKey;
    }

    /** Returns the id of the prompt's shared part, 0 without a prompt. */
    long sharedPartId() {
        Prompt prompt = mRequest.prompt();
        return prompt.isPresent() ? prompt.sharedPart().id() : 0;
    }

    Duration timeLeft(Instant now) {
        return Duration.between(now, mDeadline);
    }

    /** Returns whether the present answer is passed on event by event. */
    boolean isStreaming() {
        return route().streamed() && mStatus / 100 == 2;
    }

    void startCall(long call, BackendRef backend, Instant now) {
        mCall = call;
        mBackend = backend;
        mCallStart = now;
        mTriedServers.add(backend.id());
        mLastActivity = now;
        mHeadReceived = false;
        mMisdirected = false;
        mStatus = 0;
        mBody.reset();
        mFramer.takeIncomplete();
    }
}
