package org.laurelweir.direct;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.laurelweir.contention.FleetView;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.quarantine.SuspectKey;
import org.laurelweir.waiting.AccountShares;
import org.laurelweir.waiting.EndRate;
import org.laurelweir.waiting.Headroom;
import org.laurelweir.waiting.Place;
import org.laurelweir.waiting.ReturnTable;
import org.laurelweir.waiting.ReturnTimes;
import org.laurelweir.waiting.WaitLimits;
import org.laurelweir.waiting.WaitingCounts;
import org.laurelweir.waiting.WaitingQueue;
import org.laurelweir.waiting.WaitingRequest;

/**
 * Lets contended requests wait that find no capacity, and starts them in the order of the queue
 * when a request of their service ends, and at regular intervals. Only requests that were not sent
 * to any backend server wait, so that refusing them as not run is always true.
 */
final class WaitingRequests {
    /**
     * Tokens that a request without a prompt counts as in the shares of the queue, about as many as
     * a short prompt has.
     */
    private static final long TOKENS_WITHOUT_PROMPT = 500;

    /**
     * Number of failed tries after which a pass ends that a request's end or arrival has caused. It
     * bounds the cost of each event; the next regular pass tries all requests.
     */
    private static final int MAX_FAILURES = 8;

    /** Number of refused callers whose return is remembered, those of some seconds of refusals. */
    private static final int MAX_RETURNING = 1024;

    /** A server of unknown demand, for which the demand is the mean of the service. */
    private static final BackendRef UNKNOWN_SERVER = new BackendRef("", 0);

    /** Ends a request with an answer that says "not run". */
    interface Refusal {
        void refuse(ActiveRequest r, String message);
    }

    private final FleetView mFleet;
    private final ServerChoice mChoice;
    private final RequestDecisions mDecisions;
    private final Predicate<ActiveRequest> mStart;
    private final Refusal mRefusal;
    private final AccountShares mShares;
    private final WaitingQueue<ActiveRequest> mQueue;
    private final EndRate mEnds = new EndRate();
    private final Headroom mHeadroom = new Headroom();
    private final ReturnTimes mReturnTimes;
    private final ReturnTable<SuspectKey> mReturns = new ReturnTable<>(MAX_RETURNING);
    private final Set<String> mFreedServices = new HashSet<>();
    private final WaitingCounts mCounts = new WaitingCounts();
    private Instant mNow;
    private Consumer<? super DirectEffect> mEffects;

    /**
     * Creates the queue without any request.
     *
     * @param start sends a request for the first time; returns whether it no longer waits
     * @param refusal refuses a request that does not wait or no longer waits
     * @param seed seed of the random part of return times
     */
    WaitingRequests(
            FleetView fleet,
            ServerChoice choice,
            RequestDecisions decisions,
            Predicate<ActiveRequest> start,
            Refusal refusal,
            long seed) {
        mFleet = fleet;
        mChoice = choice;
        mDecisions = decisions;
        mStart = start;
        mRefusal = refusal;
        mShares = new AccountShares(fleet);
        mQueue = new WaitingQueue<>(WaitLimits.DEFAULT, mShares);
        mReturnTimes = new ReturnTimes(seed);
    }

    /** Sets the time and the receiver of effects for one step of the reducer. */
    void beginStep(Instant now, Consumer<? super DirectEffect> effects) {
        mNow = now;
        mEffects = effects;
    }

    /** Sends a new request, lets it wait, or refuses it if waiting is of no use. */
    void startOrWait(ActiveRequest r) {
        Place place = mReturns.size() == 0 ? Place.NONE : mReturns.takePlace(mNow, r.key());
        boolean isNew = place.equals(Place.NONE);
        r.mPlace = isNew ? new Place(mNow, mQueue.virtualTime(r.mService)) : place;
        WaitingRequest<ActiveRequest> w = waiting(r, place);
        if (startNow(w)) {
            return;
        }
        if (r.timeLeft(mNow).compareTo(Attempts.MIN_TIME_LEFT) < 0 || isVersionGone(r)) {
            mRefusal.refuse(r, noRoomMessage(r));
        } else if (isBackoffTooLong(w)) {
            mRefusal.refuse(r, "all backend servers asked for backoff");
        } else if (isTooLate(w)) {
            mEffects.accept(mDecisions.withReason(r, "too_late", mNow));
            mRefusal.refuse(r, "too many requests wait for a backend server with room");
        } else {
            add(w);
        }
    }

    private WaitingRequest<ActiveRequest> waiting(ActiveRequest r, Place place) {
        RoutedRequest request = r.mRequest;
        Duration maxWait = WaitLimits.maxWait(r.route().objective(), r.timeLeft(mNow));
        return new WaitingRequest<>(
                r,
                r.mService,
                request.priority(),
                request.account(),
                request.terms().accountWeight(),
                tokens(request),
                request.call().body().length,
                request.resumption().isRequested(),
                place,
                mNow,
                mNow.plus(r.route().objective()),
                mNow.plus(maxWait));
    }

    private static long tokens(RoutedRequest request) {
        Prompt prompt = request.prompt();
        if (!prompt.isPresent()) {
            return TOKENS_WITHOUT_PROMPT;
        }
        int hint = request.terms().lengthHint();
        int output = hint > 0 ? Math.min(hint, prompt.outputTokens()) : prompt.outputTokens();
        return (long) prompt.inputTokens() + output;
    }

    /**
     * Tries to send a new request, after the waiting ones that go before it. If so many of these
     * can't be sent that the pass ends early, the new one is tried even so: no request is refused
     * while a server has room for it.
     */
    private boolean startNow(WaitingRequest<ActiveRequest> w) {
        if (!mQueue.isAwaited(w.service())) {
            return mayStart(w) && mStart.test(w.item());
        }
        mQueue.add(w);
        boolean isComplete = admit(w.service(), MAX_FAILURES);
        boolean waits = mQueue.contains(w.item());
        mQueue.remove(w.item());
        boolean isUntried = waits && !isComplete && !mQueue.isHeldBack(mNow, w) && mayStart(w);
        return !waits || isUntried && mStart.test(w.item());
    }

    private boolean isVersionGone(ActiveRequest r) {
        return r.mRequiredVersion != null && !mChoice.hasVersion(r.mService, r.mRequiredVersion);
    }

    /** Returns whether all servers are in backoff for longer than a request may wait. */
    private boolean isBackoffTooLong(WaitingRequest<ActiveRequest> w) {
        Duration backoff = mChoice.timeUntilBackoffEnds(w.item(), mNow);
        return !backoff.isZero() && !mNow.plus(backoff).isBefore(w.waitEnd());
    }

    /** Returns whether the requests before a request take longer than it may wait. */
    private boolean isTooLate(WaitingRequest<ActiveRequest> w) {
        int ahead = mQueue.countBefore(mNow, w);
        Duration predicted = mEnds.timeFor(mNow, w.service(), ahead);
        return !mNow.plus(predicted).isBefore(w.waitEnd());
    }

    private void add(WaitingRequest<ActiveRequest> w) {
        mQueue.add(w);
        for (WaitingRequest<ActiveRequest> e : mQueue.evictExcess()) {
            mEffects.accept(mDecisions.withReason(e.item(), "evicted", mNow));
            mRefusal.refuse(e.item(), "too many requests wait for a backend server with room");
        }
        if (!mQueue.contains(w.item())) {
            return;
        }
        boolean isHeldBack = mQueue.isHeldBack(mNow, w);
        String reason = isHeldBack ? "share_exceeded" : "waiting";
        mEffects.accept(mDecisions.withReason(w.item(), reason, mNow));
        if (!isHeldBack && mayStart(w)) {
            mHeadroom.onWaiting(mNow, w.service(), w.priority());
        }
    }

    /** Returns whether a request leaves enough memory free for more urgent ones. */
    private boolean mayStart(WaitingRequest<ActiveRequest> w) {
        if (Double.isNaN(mFleet.ageMillis(mNow))) {
            return true;
        }
        int memory = w.item().mRequest.terms().engine(w.service()).memoryTokens();
        double tokens = mFleet.tokens(mNow, w.service(), UNKNOWN_SERVER);
        return mHeadroom.admits(mNow, w.service(), w.priority(), tokens, memory);
    }

    /** Removes a request that has ended, and learns from it if a server ran it. */
    void onEnded(ActiveRequest r) {
        if (!r.mRequest.terms().contended()) {
            return;
        }
        mQueue.remove(r);
        if (r.mAttemptCount > 0) {
            mEnds.onEnded(mNow, r.mService);
            mFreedServices.add(r.mService);
        }
    }

    /** Tries the waiting requests of services at which requests have ended in this step. */
    void endStep() {
        tryFreed();
        mCounts.update(mQueue);
    }

    private void tryFreed() {
        if (mFreedServices.isEmpty()) {
            return;
        }
        Set<String> freed = Set.copyOf(mFreedServices);
        mFreedServices.clear();
        if (mQueue.size() > 0) {
            refuseExpired();
            freed.forEach(s -> admit(s, MAX_FAILURES));
        }
    }

    /** Refuses the requests whose wait has ended, and tries all others. */
    void onTick() {
        if (mQueue.size() == 0) {
            return;
        }
        refuseExpired();
        mQueue.services().forEach(s -> admit(s, Integer.MAX_VALUE));
        for (WaitingRequest<ActiveRequest> w : mQueue.requests()) {
            if (!mQueue.isHeldBack(mNow, w) && mayStart(w)) {
                mHeadroom.onStillWaiting(mNow, w.service(), w.priority());
            }
        }
    }

    private boolean admit(String service, int maxFailures) {
        return mQueue.admit(mNow, service, this::mayStart, this::start, maxFailures);
    }

    private boolean start(WaitingRequest<ActiveRequest> w) {
        boolean started = mStart.test(w.item());
        if (started && w.item().mCall != 0 && mNow.isAfter(w.since())) {
            mEffects.accept(mDecisions.withReason(w.item(), waited(w), mNow));
        }
        return started;
    }

    private void refuseExpired() {
        for (WaitingRequest<ActiveRequest> w : mQueue.takeExpired(mNow)) {
            mEffects.accept(mDecisions.withReason(w.item(), waited(w), mNow));
            mRefusal.refuse(w.item(), noRoomMessage(w.item()));
        }
    }

    private String waited(WaitingRequest<ActiveRequest> w) {
        return "waited_" + Duration.between(w.since(), mNow).toMillis() + "ms";
    }

    static String noRoomMessage(ActiveRequest r) {
        return r.mRequiredVersion == null
                ? "no backend server has room"
                : "no backend server of version " + r.mRequiredVersion + " has room";
    }

    /**
     * Returns the delay after which the caller of a refused request should return, and remembers
     * it, so that a caller that returns as told keeps its place.
     */
    Duration returnDelay(ActiveRequest r) {
        int priority = r.mRequest.priority();
        int before =
                mQueue.countAhead(r.mService, priority)
                        + mReturns.countReturning(mNow, r.mService, priority);
        Duration expected = mEnds.timeFor(mNow, r.mService, before + 1);
        double weight = r.mRequest.terms().accountWeight();
        double ratio = mShares.ratio(mNow, r.mRequest.account(), weight);
        Duration delay =
                mChoice.timeUntilBackoffEnds(r, mNow)
                        .plus(mReturnTimes.delay(expected, ratio, r.timeLeft(mNow)));
        mReturns.onRefused(mNow, r.key(), r.mService, priority, mNow.plus(delay), r.mPlace);
        return delay;
    }

    /** Returns the number of waiting requests. */
    int size() {
        return mQueue.size();
    }

    /** Returns the number of bytes of the bodies of the waiting requests. */
    long bytes() {
        return mQueue.bytes();
    }

    /** Returns the numbers of waiting requests, which any thread may read. */
    WaitingCounts counts() {
        return mCounts;
    }
}
