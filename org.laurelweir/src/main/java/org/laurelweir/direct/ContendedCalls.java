package org.laurelweir.direct;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.agrona.collections.Long2ObjectHashMap;
import org.laurelweir.contention.FleetDemand;
import org.laurelweir.contention.FleetView;
import org.laurelweir.demand.OutputEstimator;
import org.laurelweir.demand.RequestDemand;
import org.laurelweir.demand.ServerSpeeds;
import org.laurelweir.demand.ServiceSpeed;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;

/**
 * Records the demand of the calls of contended requests, and learns from them how long backend
 * servers take and how much they generate. Other requests are ignored.
 */
final class ContendedCalls {
    private static final Duration PRUNE_INTERVAL = Duration.ofSeconds(30);

    /** Weight of the gaps of one stream: they depend on the number of requests at the server. */
    private static final double GAP_WEIGHT = 0.3;

    /** Minimum number of gaps in a stream from which the speed of a server is learned. */
    private static final int MIN_GAPS = 3;

    private final BackendSource mBackends;
    private final ServerTable mServers;
    private final PartHolders mHolders;
    private final FleetDemand mDemand;
    private final FleetView mFleet;
    private final OutputEstimator mOutputs = new OutputEstimator();
    private final ServerSpeeds mSpeeds = new ServerSpeeds();
    private final Map<String, ServiceSpeed> mServices = new HashMap<>();
    private final Long2ObjectHashMap<Call> mCalls = new Long2ObjectHashMap<>();

    /** The tokens of this router's calls; a backend server without any is not listed. */
    private final Map<BackendRef, OwnTokens> mOwn = new HashMap<>();

    /** The call that ended last; its request may still turn out to have been served. */
    private Call mLastEnded;

    /** Time of the next removal of old records; {@code MIN} until the first contended request. */
    private Instant mNextPrune = Instant.MIN;

    /** The tokens of this router's calls at a backend server: held, and still to be prefilled. */
    private record OwnTokens(long held, long toPrefill) {
        static final OwnTokens NONE = new OwnTokens(0, 0);
    }

    /** A call to a backend server. */
    private static final class Call {
        private final long mId;
        private final ActiveRequest mRequest;
        private final BackendRef mServer;
        private final Prediction mPrediction;

        /** How much longer the load of a plain server makes the answer take; 1 if no longer. */
        private final double mLoadFactor;

        private final int mEventsBefore;
        private Instant mFirstEvent;
        private Instant mLastEvent;

        /** Whether the time to the first event shows that the shared parts were cached. */
        private boolean mWasCached;

        Call(ActiveRequest r, long id, BackendRef server, Prediction p, double loadFactor) {
            mId = id;
            mRequest = r;
            mServer = server;
            mPrediction = p;
            mLoadFactor = loadFactor;
            mEventsBefore = r.mFramer.eventCount();
        }

        int events() {
            return mRequest.mFramer.eventCount() - mEventsBefore;
        }

        long toPrefill() {
            return mFirstEvent == null ? mPrediction.prefillTokens() : 0;
        }

        long heldTokens() {
            return mPrediction.heldTokens();
        }
    }

    /**
     * What is expected of a request at a backend server.
     *
     * @param isFirst whether the server is the first candidate by rank
     * @param prefillTokens tokens of the request that are expected to be prefilled there
     * @param heldTokens tokens that it will hold there
     * @param tokensBefore tokens to be prefilled before its first event if all of its uncertain
     *     ones are, which includes its own
     * @param uncertainTokens tokens of shared parts of which it is not known whether the server has
     *     them cached
     * @param firstEventMillis time to the first event; NaN if too little has been observed
     */
    record Prediction(
            boolean isFirst,
            long prefillTokens,
            long heldTokens,
            double tokensBefore,
            double uncertainTokens,
            double firstEventMillis) {}

    ContendedCalls(
            BackendSource backends, ServerTable servers, PartHolders holders, FleetDemand demand) {
        this(backends, servers, holders, demand, demand);
    }

    /** Creates a record whose view of the fleet may be another one than the demand that it adds. */
    ContendedCalls(
            BackendSource backends,
            ServerTable servers,
            PartHolders holders,
            FleetDemand demand,
            FleetView fleet) {
        mBackends = backends;
        mServers = servers;
        mHolders = holders;
        mDemand = demand;
        mFleet = fleet;
    }

    /** Returns the demand of all routers. */
    FleetView fleet() {
        return mFleet;
    }

    /** Returns the slowness of a backend server: 1 is usual, 2 takes twice as long. */
    double slowness(BackendRef server, Instant now) {
        return mSpeeds.slowness(now, server);
    }

    /**
     * Returns what is expected of a request at a backend server.
     *
     * @param isFirst whether the server is the first candidate by rank, where other routers send
     *     prompts with the same shared part too
     */
    Prediction predict(
            ActiveRequest r,
            RequestDemand demand,
            BackendRef server,
            boolean isFirst,
            Instant now) {
        long uncertain = isCached(r, server, now) ? 0 : demand.sharedTokens();
        long likelyCached = (long) (uncertain * hitShare(r.mService, server, isFirst, now));
        long prefill = demand.ownTokens() + uncertain - likelyCached;
        double waiting = waitingTokens(r.mService, server, now);
        ServiceSpeed service = mServices.get(r.mService);
        double millis =
                service != null && service.isLearned(now)
                        ? service.firstEventMillis(now, (waiting + prefill) * slowness(server, now))
                        : Double.NaN;
        return new Prediction(
                isFirst,
                prefill,
                prefill + demand.outputTokens(),
                waiting + demand.ownTokens() + uncertain,
                uncertain,
                millis);
    }

    /**
     * Returns the share of the shared parts that a server is expected to have cached without this
     * router's knowledge; none if it may have started lately.
     */
    private double hitShare(String service, BackendRef server, boolean isFirst, Instant now) {
        ServiceSpeed speed = mServices.get(service);
        return speed == null || !mSpeeds.isKnownSince(server, now.minus(PartHolders.KEPT_TIME))
                ? 0
                : speed.hitShare(now, isFirst);
    }

    /** Returns the demand of a request, as expected from its prompt and earlier outputs. */
    RequestDemand demand(ActiveRequest r) {
        Prompt prompt = r.mRequest.prompt();
        if (!prompt.isPresent()) {
            return RequestDemand.NONE;
        }
        int shared = Math.min(prompt.inputTokens(), prompt.sharedTokens());
        int output =
                mOutputs.expectedTokens(
                        r.route().name(),
                        r.mRequest.terms().lengthHint(),
                        Math.max(0, prompt.outputTokens()));
        return new RequestDemand(shared, Math.max(0, prompt.inputTokens()) - shared, output);
    }

    private boolean isCached(ActiveRequest r, BackendRef server, Instant now) {
        return !r.sharedPartIds().isEmpty() && mHolders.likelyHolds(r.sharedPartId(), server, now);
    }

    /**
     * Returns the estimated tokens that a backend server still has to prefill. Those of this router
     * are known; of the tokens that other routers have there, as many are assumed to wait as of
     * this router's on average.
     */
    private double waitingTokens(String service, BackendRef server, Instant now) {
        OwnTokens own = mOwn.getOrDefault(server, OwnTokens.NONE);
        ServiceSpeed speed = mServices.get(service);
        if (speed == null) {
            return own.toPrefill();
        }
        double others = Math.max(0, mFleet.tokens(now, service, server) - own.held());
        return own.toPrefill() + others * speed.waitingShare(now);
    }

    /** Records the start of a request's current call. */
    void onSent(ActiveRequest r, ServerChoice.Choice choice, Instant now) {
        onSent(r, r.mCall, r.mBackend, choice, now);
    }

    /** Records the start of a call of a request: its current one, or a hedged copy. */
    void onSent(
            ActiveRequest r,
            long call,
            BackendRef server,
            ServerChoice.Choice choice,
            Instant now) {
        if (!r.mRequest.terms().contended()) {
            return;
        }
        prune(now);
        int slots = mServers.slots(server);
        double loadFactor = slots <= 0 ? 1 : Math.max(1, (choice.load() + 1) / slots);
        mSpeeds.onSeen(now, server);
        boolean isFirst =
                !choice.candidates().isEmpty() && choice.candidates().get(0).equals(server.id());
        Prediction p = predict(r, demand(r), server, isFirst, now);
        add(new Call(r, call, server, p, loadFactor), now);
    }

    /** Records that the call which ended last goes on, since no other server takes the request. */
    void onContinued(ActiveRequest r, Instant now) {
        if (mLastEnded != null && mLastEnded.mId == r.mCall) {
            add(mLastEnded, now);
            mLastEnded = null;
        }
    }

    private void add(Call c, Instant now) {
        mCalls.put(c.mId, c);
        addOwn(c.mServer, c.heldTokens(), c.toPrefill());
        if (c.heldTokens() > 0) {
            mDemand.onSent(now, c.mServer, c.mRequest.mRequest.account(), c.heldTokens());
        }
    }

    private void addOwn(BackendRef server, long held, long toPrefill) {
        OwnTokens own = mOwn.getOrDefault(server, OwnTokens.NONE);
        OwnTokens sum = new OwnTokens(own.held() + held, own.toPrefill() + toPrefill);
        if (sum.equals(OwnTokens.NONE)) {
            mOwn.remove(server);
        } else {
            mOwn.put(server, sum);
        }
    }

    /** Records the end of a request's current call, however it ended. */
    void onEnded(ActiveRequest r, Instant now) {
        onEnded(r, r.mCall, now);
    }

    /** Records the end of a call of a request, however it ended. */
    void onEnded(ActiveRequest r, long call, Instant now) {
        Call c = mCalls.remove(call);
        if (c == null) {
            return;
        }
        mLastEnded = c;
        addOwn(c.mServer, -c.heldTokens(), -c.toPrefill());
        if (c.heldTokens() > 0) {
            mDemand.onReleased(now, c.mServer, r.mRequest.account(), c.heldTokens());
        }
    }

    /** Learns from the data of an answer. */
    void onData(ActiveRequest r, Instant now) {
        Call c = mCalls.get(r.mCall);
        if (c == null || !r.isStreaming() || c.events() == 0) {
            return;
        }
        c.mLastEvent = now;
        if (c.mFirstEvent == null) {
            addOwn(c.mServer, 0, -c.toPrefill());
            c.mFirstEvent = now;
            learnFirstEvent(c, now);
        }
    }

    private void learnFirstEvent(Call c, Instant now) {
        if (!c.mRequest.mRequest.prompt().isPresent()) {
            return;
        }
        ServiceSpeed service = service(c);
        double millis = millis(c.mRequest.mCallStart, now);
        double slowness = slowness(c.mServer, now);
        double tokens = c.mPrediction.tokensBefore();
        double uncertain = c.mPrediction.uncertainTokens();
        double withoutShared = tokens - uncertain;
        // Most parts were read for other routers, so only the time tells whether they were cached.
        c.mWasCached =
                distance(service, now, withoutShared * slowness, millis)
                        < distance(service, now, tokens * slowness, millis);
        double prefilled = c.mWasCached ? withoutShared : tokens;
        if (uncertain > 0) {
            service.onUncertainPart(now, c.mPrediction.isFirst(), c.mWasCached);
        }
        if (service.isLearned(now)) {
            double usual = service.firstEventMillis(now, prefilled);
            mSpeeds.of(c.mServer).onTime(now, millis / Math.max(1, usual), 1);
        }
        service.onFirstEvent(now, prefilled * slowness, millis);
    }

    private static double distance(
            ServiceSpeed service, Instant now, double tokens, double millis) {
        return Math.abs(millis - service.firstEventMillis(now, tokens));
    }

    /** Records the work time that a backend server reports. */
    void onWorkTime(BackendRef server, int percent, Instant now) {
        boolean isUsed = !mNextPrune.equals(Instant.MIN);
        if (isUsed && percent != AnswerMetadata.ReportedLoad.UNKNOWN_WORK_TIME) {
            mSpeeds.of(server).onWorkTime(now, percent);
        }
    }

    /**
     * Learns from a successful answer that ended. It counts as a success of the server only if its
     * framing proves that end.
     */
    void onSuccess(ActiveRequest r, Instant now) {
        if (!r.mRequest.terms().contended()) {
            return;
        }
        if (r.mFraming.provesEnd()) {
            mDemand.onOutcome(now, r.mBackend, false);
        }
        Call c = mLastEnded;
        if (c == null || c.mRequest != r) {
            return;
        }
        mLastEnded = null;
        if (c.mFirstEvent != null) {
            learnStream(c, now);
        } else if (!r.mRequest.prompt().isPresent() && r.mStatus / 100 == 2) {
            double millis = millis(r.mCallStart, now) / c.mLoadFactor;
            double ratio = service(c).onAnswer(now, millis, slowness(c.mServer, now));
            mSpeeds.of(c.mServer).onTime(now, ratio, 1);
        }
    }

    private void learnStream(Call c, Instant now) {
        ActiveRequest r = c.mRequest;
        if (!r.mRequest.resumption().isRequested()) {
            int tokens = r.mFramer.eventCount() * OutputEstimator.TOKENS_PER_EVENT;
            mOutputs.onCompleted(r.route().name(), tokens);
        }
        ServiceSpeed service = service(c);
        service.onEnded(
                now,
                c.mPrediction.prefillTokens(),
                millis(r.mCallStart, c.mFirstEvent),
                c.heldTokens(),
                millis(r.mCallStart, now));
        int gaps = c.events() - 1;
        if (gaps >= MIN_GAPS) {
            double gap = millis(c.mFirstEvent, c.mLastEvent) / gaps;
            double ratio = service.onGap(now, gap, slowness(c.mServer, now));
            mSpeeds.of(c.mServer).onTime(now, ratio, GAP_WEIGHT);
        }
    }

    /** Records that a backend server failed a request, or stayed silent. */
    void onFailure(ActiveRequest r, BackendRef server, Instant now) {
        if (r.mRequest.terms().contended()) {
            mDemand.onOutcome(now, server, true);
        }
    }

    private ServiceSpeed service(Call c) {
        return mServices.computeIfAbsent(c.mRequest.mService, s -> new ServiceSpeed());
    }

    private static double millis(Instant from, Instant to) {
        return Math.max(0, Duration.between(from, to).toNanos() / 1e6);
    }

    /** Forgets the backend servers and services that are gone. */
    private void prune(Instant now) {
        if (now.isBefore(mNextPrune)) {
            return;
        }
        mNextPrune = now.plus(PRUNE_INTERVAL);
        mSpeeds.prune(this::isCurrent);
        mServices.keySet().removeIf(s -> mBackends.view(s).size() == 0);
    }

    private boolean isCurrent(BackendRef server) {
        Backend b = mBackends.backend(server.id());
        return b != null && b.ref().equals(server);
    }
}
