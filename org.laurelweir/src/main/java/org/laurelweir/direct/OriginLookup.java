package org.laurelweir.direct;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.agrona.collections.Long2ObjectHashMap;
import org.laurelweir.resumption.OriginAnswer;
import org.laurelweir.resumption.StreamKey;
import org.laurelweir.resumption.StreamOrigin;
import org.laurelweir.resumption.StreamOrigins;
import org.laurelweir.settings.RouteShare;

/**
 * Finds out what began a stream that a caller goes on with: from this router's own records, or from
 * control. Nothing is guessed: without a record the stream goes on only if its service has had a
 * single version for as long as the stream can exist.
 */
final class OriginLookup {
    private static final String OWN_RECORD = "recorded by this router";
    private static final Duration ROUTE_RETENTION = Duration.ofMinutes(10);

    private final StreamOrigins mOrigins;
    private final RequestDecisions mDecisions;
    private final BiConsumer<ActiveRequest, Optional<StreamOrigin>> mOnResult;
    private final Long2ObjectHashMap<ActiveRequest> mByLookup = new Long2ObjectHashMap<>();
    private final Map<String, StableShares> mShares = new HashMap<>();
    private long mLastLookup;
    private Instant mNow;
    private Consumer<? super DirectEffect> mEffects;

    /** The services of a route, and since when this router has known no others. */
    private static final class StableShares {
        private final List<RouteShare> mServices;
        private final Instant mSince;
        private Instant mLastRequest;

        StableShares(List<RouteShare> services, Instant since) {
            mServices = services;
            mSince = since;
        }
    }

    /**
     * Creates a lookup.
     *
     * @param origins this router's own records
     * @param onResult receives each request with the origin of its stream, or without one if the
     *     stream can't go on
     */
    OriginLookup(
            StreamOrigins origins,
            RequestDecisions decisions,
            BiConsumer<ActiveRequest, Optional<StreamOrigin>> onResult) {
        mOrigins = origins;
        mDecisions = decisions;
        mOnResult = onResult;
    }

    /** Sets the time and the receiver of effects for one step of the reducer. */
    void beginStep(Instant now, Consumer<? super DirectEffect> effects) {
        mNow = now;
        mEffects = effects;
    }

    /** Notes the services of a route that has a request. */
    void onRequest(Route route) {
        if (!route.streamed() || !route.resumable()) {
            return;
        }
        StableShares known = mShares.get(route.name());
        if (known == null || !known.mServices.equals(route.shares())) {
            known = new StableShares(route.shares(), mNow);
            mShares.put(route.name(), known);
        }
        known.mLastRequest = mNow;
    }

    /** Removes the routes without requests. */
    void prune() {
        Instant oldest = mNow.minus(ROUTE_RETENTION);
        mShares.values().removeIf(s -> s.mLastRequest.isBefore(oldest));
    }

    /** Begins to look for the origin of a request's stream. The result may follow at once. */
    void begin(ActiveRequest r) {
        Optional<StreamOrigin> own =
                isNamed(r) ? mOrigins.find(mNow, streamOf(r)) : Optional.empty();
        if (own.isPresent()) {
            finish(r, own, OWN_RECORD);
            return;
        }
        r.mLookup = ++mLastLookup;
        mByLookup.put(r.mLookup, r);
        mEffects.accept(
                new DirectEffect.FindStream(
                        r.mLookup, streamOf(r), r.mService, ResumptionWindow.of(r.route())));
    }

    private static boolean isNamed(ActiveRequest r) {
        return !r.mRequest.resumption().firstRequest().isEmpty();
    }

    /** Returns the key of the stream that the caller names. */
    private static long streamOf(ActiveRequest r) {
        return StreamKey.of(r.mRequest.account(), r.mRequest.resumption().firstRequest());
    }

    /** Handles the answer of control. */
    void onFound(DirectEvent.StreamFound e) {
        ActiveRequest r = mByLookup.remove(e.lookup());
        if (r == null) {
            return;
        }
        r.mLookup = 0;
        OriginAnswer answer = e.answer();
        String source = answer.answered() + " of " + answer.asked() + " control instances answered";
        if (isNamed(r) && answer.origin().isPresent()) {
            answer.origin().ifPresent(o -> remember(r, o));
            finish(r, answer.origin(), "recorded, " + source);
            return;
        }
        Optional<StreamOrigin> sole =
                answer.soleVersion()
                        .filter(v -> hasOneStableService(r.route()))
                        .map(v -> new StreamOrigin(r.mService, v));
        finish(r, sole, sole.isPresent() ? "the only version, " + source : "unknown, " + source);
    }

    private void remember(ActiveRequest r, StreamOrigin origin) {
        mOrigins.put(mNow, streamOf(r), origin, ResumptionWindow.of(r.route()));
    }

    /** Returns whether a stream of a route can only have begun at its present service. */
    private boolean hasOneStableService(Route route) {
        StableShares known = mShares.get(route.name());
        Duration age = known == null ? Duration.ZERO : Duration.between(known.mSince, mNow);
        return route.shares().size() == 1 && age.compareTo(ResumptionWindow.of(route)) >= 0;
    }

    private void finish(ActiveRequest r, Optional<StreamOrigin> origin, String source) {
        mEffects.accept(mDecisions.originFound(r, origin, source, mNow));
        mOnResult.accept(r, origin);
    }

    /** Ends the lookup of a request, if any. */
    void cancel(ActiveRequest r) {
        mByLookup.remove(r.mLookup);
        r.mLookup = 0;
    }
}
