package org.laurelweir.direct;

import java.time.Instant;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.laurelweir.quarantine.SuspectKey;
import org.laurelweir.resumption.StreamOrigin;

/**
 * Takes requests that have arrived to their first call: chooses the service, finds where a stream
 * that goes on began, and sends the request, lets it wait or refuses it.
 */
final class Arrivals {
    private final FleetRetryBudget mBudget;
    private final Attempts mAttempts;
    private final RequestDecisions mDecisions;
    private final CrashGuard mCrashGuard;
    private final ErrorAnswers mErrorAnswers;
    private final WaitingRequests mWaiting;
    private final Hedges mHedges;
    private final OriginLookup mOriginLookup;
    private final RequestEnds mEnds;
    private final SplittableRandom mRandom;
    private Instant mNow;
    private Consumer<? super DirectEffect> mEffects;

    Arrivals(
            FleetRetryBudget budget,
            Attempts attempts,
            RequestDecisions decisions,
            CrashGuard crashGuard,
            ErrorAnswers errorAnswers,
            WaitingRequests waiting,
            Hedges hedges,
            OriginLookup originLookup,
            RequestEnds ends,
            long seed) {
        mBudget = budget;
        mAttempts = attempts;
        mDecisions = decisions;
        mCrashGuard = crashGuard;
        mErrorAnswers = errorAnswers;
        mWaiting = waiting;
        mHedges = hedges;
        mOriginLookup = originLookup;
        mEnds = ends;
        mRandom = new SplittableRandom(seed);
    }

    /** Sets the time and the receiver of effects for one step of the reducer. */
    void beginStep(Instant now, Consumer<? super DirectEffect> effects) {
        mNow = now;
        mEffects = effects;
    }

    /** Chooses the service of a route at random, by the weights of the route's shares. */
    String chooseService(Route route) {
        double sum = route.shares().stream().mapToDouble(s -> s.weight()).sum();
        double remaining = mRandom.nextDouble() * sum;
        for (var share : route.shares()) {
            remaining -= share.weight();
            if (remaining < 0) {
                return share.service();
            }
        }
        return route.shares().get(route.shares().size() - 1).service();
    }

    /** Handles a request that has just arrived. */
    void onArrived(ActiveRequest r) {
        mOriginLookup.onRequest(r.route());
        if (r.mRequest.resumption().isRequested()) {
            resume(r);
        } else {
            startFirst(r);
        }
    }

    private void startFirst(ActiveRequest r) {
        mBudget.onRequest(r.mService, mNow);
        mHedges.onRequest(r);
        Optional<SuspectKey> quarantined = mCrashGuard.findReasonToReject(r, mNow);
        if (quarantined.isPresent()) {
            mEnds.end(r, c -> mErrorAnswers.quarantined(c, quarantined.get()));
        } else if (r.mRequest.terms().contended()) {
            r.mOnTrial = mCrashGuard.isQuarantined(r);
            mWaiting.startOrWait(r);
        } else if (!mAttempts.startNext(r)) {
            refuse(r, WaitingRequests.noRoomMessage(r));
        }
    }

    /**
     * Sends a contended request to its first server, or rejects it if it was quarantined while it
     * waited.
     *
     * @return whether the request no longer waits
     */
    boolean startContended(ActiveRequest r) {
        Optional<SuspectKey> quarantined =
                r.mOnTrial ? Optional.empty() : mCrashGuard.findReasonToReject(r, mNow);
        if (quarantined.isPresent()) {
            mEnds.end(r, c -> mErrorAnswers.quarantined(c, quarantined.get()));
            return true;
        }
        return mAttempts.startNext(r);
    }

    /** Refuses a request that was not sent to any server. */
    void refuse(ActiveRequest r, String message) {
        mEnds.end(r, c -> mErrorAnswers.rejected(c, message));
    }

    /** Handles a request that goes on with a stream which broke off. */
    private void resume(ActiveRequest r) {
        mEffects.accept(mDecisions.resumptionRequested(r, mNow));
        if (r.route().isRepeatable()) {
            mOriginLookup.begin(r);
        } else {
            String message = "streams of this route can't be resumed";
            mEnds.end(r, c -> mErrorAnswers.unknownStream(c, message));
        }
    }

    /** Sends a request that goes on with a stream to where the stream began. */
    void onOrigin(ActiveRequest r, Optional<StreamOrigin> origin) {
        if (origin.isEmpty()) {
            String message = "it is not known which version began the stream";
            mEnds.end(r, c -> mErrorAnswers.unknownStream(c, message));
            return;
        }
        String service = origin.get().service();
        if (r.route().shares().stream().noneMatch(s -> s.service().equals(service))) {
            String message = "the route no longer leads to service " + service;
            mEnds.end(r, c -> mErrorAnswers.unknownStream(c, message));
            return;
        }
        r.mService = service;
        r.mRequiredVersion = origin.get().version();
        startFirst(r);
    }
}
