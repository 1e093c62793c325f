package org.laurelweir.direct;

import java.time.Instant;
import java.util.Optional;
import org.laurelweir.membership.Backend;
import org.laurelweir.placement.Candidate;

/**
 * Says which backend servers may be candidates for a request. Draining servers, and those of
 * drained data centres, are not in the views that candidates are taken from.
 */
final class CandidateFilter {
    private final BackendSource mBackends;
    private final ServerTable mServers;
    private final SlowStartLimiter mSlowStarts;

    CandidateFilter(BackendSource backends, ServerTable servers, SlowStartLimiter slowStarts) {
        mBackends = backends;
        mServers = servers;
        mSlowStarts = slowStarts;
    }

    /**
     * Returns whether a server may be a candidate for a request.
     *
     * @param withEjected whether servers that failed lately may be candidates too
     */
    boolean isEligible(ActiveRequest r, Candidate c, Instant now, boolean withEjected) {
        boolean isPassedOver =
                withEjected
                        ? mServers.isPaused(c.ref(), now)
                        : mServers.isPassedOver(r.mService, c.ref(), now);
        return !r.mTriedServers.contains(c.id())
                && !isPassedOver
                && mayRun(r, c)
                && !mayBeOtherVersion(r, c, now)
                && isWarmOrPermitted(r, c, now);
    }

    /** Returns whether a server may run a request, whatever its state. */
    boolean mayRun(ActiveRequest r, Candidate c) {
        return hasRequiredVersion(r, c) && isInAllowedRegion(r, c);
    }

    /** Returns when the backoff of a server ends, or empty if it is not in backoff. */
    Optional<Instant> backoffEnd(Candidate c, Instant now) {
        return mServers.backoffEnd(c.ref(), now);
    }

    /** Returns whether a server may go on with the stream of a request. */
    private boolean hasRequiredVersion(ActiveRequest r, Candidate c) {
        if (r.mRequiredVersion == null) {
            return true;
        }
        Backend b = mBackends.backend(c.id());
        return b != null && b.ref().equals(c.ref()) && b.version().equals(r.mRequiredVersion);
    }

    /**
     * Returns whether a server may have started anew with another version than a stream has to go
     * on at. Its version is that of its last announcement, and nothing in its answers tells.
     */
    private boolean mayBeOtherVersion(ActiveRequest r, Candidate c, Instant now) {
        return r.mRequiredVersion != null && mServers.isRunInDoubt(c.ref(), now);
    }

    /** Returns whether a server is not in slow start, or takes a request of this router even so. */
    private boolean isWarmOrPermitted(ActiveRequest r, Candidate c, Instant now) {
        return !mBackends.isInSlowStart(c.id(), now)
                || !r.mIsWarmOnly && mSlowStarts.permits(now, c.ref());
    }

    private boolean isInAllowedRegion(ActiveRequest r, Candidate c) {
        if (!r.mRequest.allowedRegions().isLimited()) {
            return true;
        }
        Backend b = mBackends.backend(c.id());
        return b != null && r.mRequest.allowedRegions().allows(b.region());
    }
}
