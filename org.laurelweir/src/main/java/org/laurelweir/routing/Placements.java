package org.laurelweir.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.laurelweir.attempt.LoadHint;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.ServiceLoad;
import org.laurelweir.placement.AffinityPolicy;
import org.laurelweir.placement.Candidate;
import org.laurelweir.placement.ChatDirectory;
import org.laurelweir.placement.ChatKey;
import org.laurelweir.placement.OutlierConfig;
import org.laurelweir.placement.Outliers;
import org.laurelweir.placement.Placement;
import org.laurelweir.placement.PlacementHints;
import org.laurelweir.placement.PlacementPolicy;
import org.laurelweir.placement.PlacementReason;
import org.laurelweir.placement.PlacementRequest;
import org.laurelweir.placement.ServiceView;
import org.laurelweir.placement.WorkEstimate;

/** Chooses the backend server of each attempt, and keeps hints from earlier answers. */
final class Placements {
    /**
     * How long a sidecar is tried last after it reported that it drains or after it turned out to
     * have restarted. It refuses requests anyway; this hint saves the round trip and the retry
     * until control reports the change. It must not outlast an undrain by much.
     */
    private static final Duration AVOIDANCE_DURATION = Duration.ofSeconds(5);

    private final Memberships mMemberships;
    private final PlacementPolicy mPolicy = new AffinityPolicy();
    private final Map<String, ServiceOutliers> mOutliersByService = new HashMap<>();
    private final Map<BackendRef, LoadHint> mLoads = new HashMap<>();
    private final Map<String, Double> mMeanWorkByService = new HashMap<>();
    private final Map<String, Instant> mAvoidedUntil = new HashMap<>();
    private final ChatDirectory mLastServers;

    Placements(RouterConfig config, Memberships memberships) {
        mMemberships = memberships;
        mLastServers = new ChatDirectory(config.maxChatLocations());
    }

    /** A choice, the candidates that it was made from, and its reason. */
    record Choice(Target target, List<String> candidates, String reason) {}

    /**
     * Chooses the target of a request's next attempt among those that it has not tried.
     *
     * @return the choice, or null if no backend server is left to try
     */
    Choice choose(Instant now, ActiveRequest r) {
        ServiceView view = mMemberships.view(r.mRequest.service());
        Placement placement = place(now, r, view);
        List<Candidate> order = new ArrayList<>(placement.candidates());
        int wanted = r.mTriedTargets.size() + AffinityPolicy.MAX_CANDIDATES;
        view.ranking().top(r.mChatKey, wanted).stream()
                .filter(c -> !order.contains(c))
                .forEach(order::add);
        List<String> names = placement.candidates().stream().map(Candidate::id).toList();
        boolean first = true;
        for (Candidate c : order) {
            Backend b = mMemberships.backend(c.id());
            if (b != null && !r.mTriedTargets.contains(c.ref())) {
                String reason = first ? reasonName(placement.reason()) : "next_in_rank";
                return new Choice(new Target(c.ref(), b.address()), names, reason);
            }
            first = false;
        }
        return null;
    }

    /**
     * Chooses the backend server that a sidecar's redirect names.
     *
     * @return the choice, or null if that backend server is unknown or already tried
     */
    Choice chooseNamed(ActiveRequest r, String id) {
        Backend b = mMemberships.backend(id);
        if (b == null || r.mTriedTargets.contains(b.ref())) {
            return null;
        }
        return new Choice(new Target(b.ref(), b.address()), List.of(id), "redirect");
    }

    private Placement place(Instant now, ActiveRequest r, ServiceView view) {
        CallerRequest request = r.mRequest;
        WorkEstimate work =
                new WorkEstimate(request.cost().promptTokens(), 0, request.cost().outputTokens());
        Hints hints = new Hints(outliers(request), now);
        Placement placement =
                mPolicy.place(
                        new PlacementRequest(r.mChatKey, request.account(), work), view, hints);
        return request.chat() == 0 ? lessLoadedFirst(placement) : placement;
    }

    /**
     * Puts the less loaded of the first two candidates first. A request without a chat may run
     * anywhere, and its random key makes the two a random choice.
     */
    private Placement lessLoadedFirst(Placement placement) {
        if (placement.candidates().size() < 2) {
            return placement;
        }
        List<Candidate> order = new ArrayList<>(placement.candidates());
        if (load(order.get(1).id()).runningWork() < load(order.get(0).id()).runningWork()) {
            Collections.swap(order, 0, 1);
        }
        return new Placement(order, PlacementReason.LOAD, placement.viewVersion());
    }

    private static String reasonName(PlacementReason reason) {
        return reason.name().toLowerCase(Locale.ROOT);
    }

    private Outliers outliers(CallerRequest request) {
        ServiceOutliers entry = mOutliersByService.get(request.service());
        if (entry == null || !entry.config().equals(request.ejection())) {
            entry = new ServiceOutliers(request.ejection());
            mOutliersByService.put(request.service(), entry);
        }
        return entry.outliers();
    }

    /**
     * A service's failing backend servers, and the settings that its failures are counted under.
     */
    private record ServiceOutliers(OutlierConfig config, Outliers outliers) {
        ServiceOutliers(OutlierConfig config) {
            this(config, new Outliers(config));
        }
    }

    /**
     * Returns the load that a backend server last reported to this router. A load that an earlier
     * run of its sidecar reported does not count: a restarted sidecar would look busy with requests
     * that it does not run, and would never be chosen, and so never corrected, while others are
     * idle.
     */
    LoadHint load(String id) {
        Backend b = mMemberships.backend(id);
        return b == null ? LoadHint.UNKNOWN : mLoads.getOrDefault(b.ref(), LoadHint.UNKNOWN);
    }

    /** Returns the mean load of a service as control last reported it, or 0. */
    double meanWork(String service) {
        return mMeanWorkByService.getOrDefault(service, 0.0);
    }

    void onMeanLoads(List<ServiceLoad> loads) {
        loads.forEach(l -> mMeanWorkByService.put(l.service(), l.meanWork()));
    }

    void onLoad(Instant now, BackendRef ref, LoadHint hint) {
        mLoads.put(ref, hint);
        String id = ref.id();
        if (hint.draining()) {
            mAvoidedUntil.put(id, now.plus(AVOIDANCE_DURATION));
        } else {
            mAvoidedUntil.remove(id);
        }
    }

    /** Handles a refusal by a sidecar whose run differs from the one that this router knows. */
    void onOtherIncarnation(Instant now, ActiveRequest r) {
        mAvoidedUntil.put(r.mTarget.ref().id(), now.plus(AVOIDANCE_DURATION));
    }

    /** Handles the beginning of an answer from a backend server. */
    void onAnswer(ActiveRequest r) {
        String id = r.mTarget.ref().id();
        outliers(r.mRequest).onSuccess(id);
        if (r.mRequest.chat() != 0) {
            mLastServers.put(r.mChatKey, id);
        }
    }

    /** Handles a backend server that failed or stayed silent. */
    void onFailure(Instant now, ActiveRequest r) {
        String service = r.mRequest.service();
        int servers = mMemberships.view(service).size();
        outliers(r.mRequest).onFailure(r.mTarget.ref().id(), servers, now);
    }

    /**
     * Removes the hints about backend servers that have left. Needed only after a membership
     * change.
     */
    void prune() {
        mLoads.keySet().removeIf(ref -> !isPresent(ref));
        mAvoidedUntil.keySet().removeIf(id -> mMemberships.backend(id) == null);
        mOutliersByService.forEach(
                (service, entry) ->
                        mMemberships
                                .view(service)
                                .departed()
                                .forEach(c -> entry.outliers().onLeave(c.id())));
    }

    private boolean isPresent(BackendRef ref) {
        Backend b = mMemberships.backend(ref.id());
        return b != null && b.ref().equals(ref);
    }

    private final class Hints implements PlacementHints {
        private final Outliers mOutliers;
        private final Instant mNow;

        Hints(Outliers outliers, Instant now) {
            mOutliers = outliers;
            mNow = now;
        }

        @Override
        public double runningWork(String id) {
            return load(id).runningWork();
        }

        @Override
        public boolean isEjected(String id) {
            Instant avoided = mAvoidedUntil.get(id);
            return mOutliers.isEjected(id, mNow) || (avoided != null && mNow.isBefore(avoided));
        }

        @Override
        public String lastServer(ChatKey chat) {
            return mLastServers.find(chat);
        }
    }
}
