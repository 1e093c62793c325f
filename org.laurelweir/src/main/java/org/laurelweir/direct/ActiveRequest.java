package org.laurelweir.direct;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.laurelweir.answer.BodyCheck;
import org.laurelweir.answer.BodyFraming;
import org.laurelweir.answer.BodyType;
import org.laurelweir.answer.EventFramer;
import org.laurelweir.attempt.Header;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;
import org.laurelweir.quarantine.SuspectKey;
import org.laurelweir.waiting.Place;

/** State of a caller's request from its arrival to its final answer, with the current call. */
final class ActiveRequest {
    private static final BackendRef NO_BACKEND = new BackendRef("", 0);

    final long mCaller;
    RoutedRequest mRequest;
    final Instant mDeadline;
    final EventFramer mFramer = new EventFramer();

    /** The service that runs the request. A resumed stream goes on at the one that began it. */
    String mService;

    /**
     * The software version that the stream has to go on at, or null while any may serve it: until
     * the first event, or if the answer is no stream.
     */
    String mRequiredVersion;

    /** The software version of the current or last call's backend server, as announced. */
    String mCallVersion = "";

    /** The run of the current or last call's backend server that answers, as far as is known. */
    BackendRef mCallRun = NO_BACKEND;

    /** The call that brought the first event of the stream, or 0 if another request did. */
    long mOriginCall;

    /** The last call whose server was confirmed, or is being confirmed, to have the version. */
    long mConfirmedCall;

    /** The record of the stream's origin that is not confirmed yet, or 0. */
    long mRecord;

    /** Whether the first events of a call wait for the record. */
    boolean mIsHolding;

    /** Until when the first events wait for the record. */
    Instant mHoldDeadline = Instant.MIN;

    /** Whether the version of the events that the caller has is certain. */
    boolean mMayGoOn = true;

    /** The first events of a call, while they wait for the record. */
    final ByteArrayOutputStream mHeldEvents = new ByteArrayOutputStream();

    /** The lookup of the stream's origin that the request waits for, or 0. */
    long mLookup;

    /** Whether the request is quarantined and was accepted as a trial, which happens once. */
    boolean mOnTrial;

    /** The place in the queue that a contended request keeps if its caller returns as told. */
    Place mPlace = Place.NONE;

    /** Ids of the backend servers that were called, including the current one. */
    final Set<String> mTriedServers = new HashSet<>();

    /** The current call to a backend server, or 0 if there is none. */
    long mCall;

    /** The backend server of the current or, if there is none, of the last call. */
    BackendRef mBackend = NO_BACKEND;

    /** Start of the current or, if there is none, of the last call. */
    Instant mCallStart = Instant.MIN;

    /** Start of the time of silence after which the call counts as stalled. */
    Instant mLastActivity = Instant.MIN;

    /** The copy that was sent to another backend server and has no answer yet, or null. */
    SecondCall mSecond;

    /** Whether it has been decided if the request is hedged, which happens once. */
    boolean mIsHedgeDecided;

    /** Whether backend servers in slow start are no candidates for the next call. */
    boolean mIsWarmOnly;

    /** Number of calls that may have reached the intended backend server. */
    int mAttemptCount;

    /** Number of calls that reached another server than intended, which did not run them. */
    int mMisdirectedCount;

    /** Whether any backend server may have run the request. */
    boolean mMayHaveRun;

    /**
     * Whether the last call reached another server than intended, because its address was reused.
     */
    boolean mMisdirected;

    /** Whether the head of the current call's answer has arrived. */
    boolean mHeadReceived;

    /** Whether the head of a streamed answer has been sent to the caller. */
    boolean mHeadSent;

    /** Whether the current call goes on after a part of the answer that the caller has. */
    private boolean mIsResumed;

    /** Whether the caller does not read what it was sent, so that the answer is not read either. */
    boolean mCallerBlocked;

    /** Whether the caller has disconnected while the call continues; its answer is dropped. */
    boolean mDetached;

    /** Whether the body is not held any more, so that the request can't be sent again. */
    boolean mBodyDropped;

    int mStatus;

    /** What tells the end of the current answer's body. */
    BodyFraming mFraming = BodyFraming.LENGTH;

    private BodyType mBodyType = BodyType.UNKNOWN;

    List<Header> mHeaders = List.of();
    ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private SuspectKey mKey;
    private List<Long> mSharedPartIds;

    ActiveRequest(long caller, RoutedRequest request, String service, Instant now) {
        mCaller = caller;
        mRequest = request;
        mService = service;
        mDeadline = now.plus(request.timeLeft());
    }

    Route route() {
        return mRequest.route();
    }

    /**
     * Returns the key that identifies the request when a caller sends it again. The description of
     * the prompt is part of it: two prompts may have the same path and body.
     */
    SuspectKey key() {
        if (mKey == null) {
            long fingerprint = mRequest.prompt().addTo(mRequest.call().fingerprint());
            mKey = SuspectKey.request(mRequest.account(), fingerprint);
        }
        return mKey;
    }

    /**
     * Returns whether the request may be sent to another server: the route permits it, and a stream
     * of which the caller has a part can go on after that part.
     */
    boolean isRepeatable() {
        return route().isRepeatable() && (!mHeadSent || mFramer.isIdentified() && mMayGoOn);
    }

    /** Drops the headers and the body of a request that will not be sent again. */
    void dropBody() {
        // The key depends on the body.
        key();
        mRequest = mRequest.withoutContent();
        mBodyDropped = true;
    }

    RequestSummary summary() {
        return new RequestSummary(mRequest.id(), sharedPartId(), sharedPartIds(), mService, key());
    }

    /** Returns the ids of the prompt's parts that other prompts may share. */
    List<Long> sharedPartIds() {
        if (mSharedPartIds == null) {
            mSharedPartIds = mRequest.prompt().sharedIds();
        }
        return mSharedPartIds;
    }

    /** Returns the id of the prompt's shared part, or 0 if the request has no prompt. */
    long sharedPartId() {
        Prompt prompt = mRequest.prompt();
        return prompt.isPresent() ? prompt.sharedPart().id() : 0;
    }

    /** Returns the number of bytes of the answer that are held and not forwarded yet. */
    long heldBytes() {
        return (long) mBody.size() + mFramer.incompleteLength() + mHeldEvents.size();
    }

    Duration timeLeft(Instant now) {
        return Duration.between(now, mDeadline);
    }

    /**
     * Returns whether the current answer is a successful stream, forwarded event by event. One that
     * goes on after the beginning of another answer must not be of another type.
     */
    boolean isStreaming() {
        boolean isJoinable = mBodyType == BodyType.EVENTS || mBodyType == BodyType.UNKNOWN;
        return route().streamed() && mStatus / 100 == 2 && (!mIsResumed || isJoinable);
    }

    /** Returns whether the current answer ended, and its content shows that it was broken off. */
    boolean isBrokenOff() {
        if (isStreaming()) {
            return isEventStream() && BodyCheck.isBrokenOff(mFramer, mFraming);
        }
        if (mFraming.provesEnd() && mBodyType != BodyType.EVENTS) {
            return false;
        }
        BodyCheck check = new BodyCheck(mBodyType, mFraming);
        check.add(mBody.toByteArray());
        return check.isBrokenOff();
    }

    /**
     * Returns whether the answer of a streamed route is a stream of events. Without a content type
     * it is taken for one unless the server told its end: then there is no reason to doubt it.
     */
    private boolean isEventStream() {
        return mBodyType == BodyType.EVENTS
                || mBodyType == BodyType.UNKNOWN && !mFraming.provesEnd();
    }

    /** Records the head of the current answer. */
    void acceptHead(int status, List<Header> headers, BodyFraming framing) {
        mHeadReceived = true;
        mStatus = status;
        mHeaders = headers;
        mFraming = framing;
        mBodyType = BodyType.of(headers);
    }

    /** Drops what is held of the answer of a call that was given up. */
    void dropAnswer() {
        mBody.reset();
        mFramer.takeIncomplete();
    }

    /** Records the start of a call and resets the state of the previous answer. */
    void startCall(long call, Backend backend, Instant now) {
        mCall = call;
        mBackend = backend.ref();
        mCallRun = mBackend;
        mCallVersion = backend.version();
        mCallStart = now;
        mTriedServers.add(mBackend.id());
        mLastActivity = now;
        mHeadReceived = false;
        mIsResumed = mHeadSent;
        mMisdirected = false;
        mStatus = 0;
        mFraming = BodyFraming.LENGTH;
        dropAnswer();
    }
}
