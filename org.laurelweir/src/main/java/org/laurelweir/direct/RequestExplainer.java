package org.laurelweir.direct;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.laurelweir.contention.FleetView;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.load.LoadEstimator;
import org.laurelweir.membership.Backend;
import org.laurelweir.placement.Candidate;
import org.laurelweir.quarantine.SuspectKey;
import org.laurelweir.settings.RouteShare;
import org.laurelweir.waiting.ReturnTimes;

/**
 * Says what would happen to a request that arrives now. It asks the same classes as a request that
 * is sent, and changes nothing: no state, no counter and no sequence of random numbers.
 */
final class RequestExplainer {
    /** No request has this number; callers are numbered from 1. */
    private static final long NO_CALLER = 0;

    private final BackendSource mBackends;
    private final ServerTable mServers;
    private final LoadEstimator mLoads;
    private final ServerChoice mChoice;
    private final CrashGuard mCrashGuard;
    private final FleetView mFleet;

    RequestExplainer(
            BackendSource backends,
            ServerTable servers,
            LoadEstimator loads,
            ServerChoice choice,
            CrashGuard crashGuard,
            FleetView fleet) {
        mBackends = backends;
        mServers = servers;
        mLoads = loads;
        mChoice = choice;
        mCrashGuard = crashGuard;
        mFleet = fleet;
    }

    RequestExplanation explain(RoutedRequest request, Instant now) {
        List<RequestExplanation.Service> services = new ArrayList<>();
        mServers.setFrozen(true);
        try {
            for (RouteShare share : request.route().shares()) {
                services.add(explainAt(share, request, now));
            }
        } finally {
            mServers.setFrozen(false);
        }
        return new RequestExplanation(request, mFleet.ageMillis(now), services);
    }

    private RequestExplanation.Service explainAt(
            RouteShare share, RoutedRequest request, Instant now) {
        ActiveRequest r = new ActiveRequest(NO_CALLER, request, share.service(), now);
        ServerChoice.Preview preview = mChoice.preview(r, now);
        Optional<RequestExplanation.Refusal> refusal =
                refusal(r, preview.choice().isPresent(), now);
        return new RequestExplanation.Service(
                share.service(),
                share.weight(),
                mChoice.servingCount(share.service()),
                mLoads.mean(now, share.service()),
                preview.candidates().stream().map(c -> server(r, c, now)).toList(),
                refusal.isPresent() ? Optional.empty() : preview.choice().map(this::choice),
                refusal);
    }

    private RequestExplanation.Choice choice(ServerChoice.Choice c) {
        return new RequestExplanation.Choice(c.server().id(), c.reason(), c.bound());
    }

    private Optional<RequestExplanation.Refusal> refusal(
            ActiveRequest r, boolean hasServer, Instant now) {
        Optional<SuspectKey> quarantined = mCrashGuard.findQuarantined(r);
        if (quarantined.isPresent()) {
            return Optional.of(
                    new RequestExplanation.Refusal(
                            ResultCode.REQUEST_QUARANTINED,
                            ErrorAnswers.quarantineMessage(quarantined.get()),
                            RetryDelays.QUARANTINE_DELAY));
        }
        boolean hasTime = Attempts.hasTime(r, now);
        if (hasServer && hasTime) {
            return Optional.empty();
        }
        ResultCode code =
                mChoice.servingCount(r.mService) == 0
                        ? ResultCode.NO_BACKEND_SERVER
                        : ResultCode.OVERLOADED;
        String message =
                hasTime ? "no backend server has room" : "too little time is left for an attempt";
        return Optional.of(new RequestExplanation.Refusal(code, message, longestDelay(r, now)));
    }

    private Duration longestDelay(ActiveRequest r, Instant now) {
        Duration timeLeft = r.timeLeft(now);
        Duration backoff = mChoice.timeUntilBackoffEnds(r, now);
        if (r.mRequest.terms().contended()) {
            return backoff.plus(ReturnTimes.longest(timeLeft));
        }
        return backoff.isZero()
                ? RetryDelays.longestAfterOverload(timeLeft)
                : RetryDelays.longestAfterBackoff(backoff);
    }

    private RequestExplanation.Server server(ActiveRequest r, Candidate c, Instant now) {
        Backend b = mBackends.backend(c.id());
        boolean isKnown = b != null && b.ref().equals(c.ref());
        LoadEstimator.Estimate load = mLoads.estimate(now, r.mService, c.ref());
        return new RequestExplanation.Server(
                c.ref(),
                isKnown ? b.address() : "",
                isKnown ? b.dataCentre() : "",
                isKnown ? b.version() : "",
                load.requests(),
                load.ageMillis(),
                mLoads.ownRequests(c.ref()),
                mChoice.slots(c),
                mFleet.tokens(now, r.mService, c.ref()),
                r.mRequest.terms().engine(r.mService).memoryTokens(),
                mFleet.failureRate(now, c.ref()),
                mServers.isUnreliable(r.mService, c.ref(), now),
                mBackends.isInSlowStart(c.id(), now));
    }
}
