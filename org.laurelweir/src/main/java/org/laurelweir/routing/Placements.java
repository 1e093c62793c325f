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

/** Chooses the backend server of each attempt, and keeps the hints that earlier answers gave. */
final class Placements {
    /**
     * How long a sidecar is tried last that said it drains, or turned out to have been restarted.
     * It refuses anyway; the hint saves the way there, and the retry, until control's word arrives,
     * and must not outlive an undrain.
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

    /** One choice with what it was made from. */
    record Choice(Target target, List<String> candidates, String reason) {}

    /**
     * Chooses where a request's next attempt goes, leaving out where it has been.
     *
     * @return the choice, or null if no backend server is left to try
     */
    Choice choose(Instant now, ActiveRequest r) {
        ServiceView view = mMemberships.view(r.mRequest.service());
        Placement placement = place(now, r, view);
        List<Candidate> order = new ArrayList<>(placement.candidates());
        int wanted = r.mTriedTargets.size() + AffinityPolicy.CANDIDATES;
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
     * Returns the backend server that a sidecar named, or null if it is not known or has been tried
     * already.
     */
    Choice chooseNamed(ActiveRequest r, String id) {
        Backend b = mMemberships.backend(id);
        if (b == null || r.mTriedTargets.contains(b.ref())) {
            return null;
        }
        return new Choice(new Target(b.ref(), b.address()), List.of(id), "redirect");
    }

    private Placement place(Instant now, ActiveRequest r, ServiceView view) {
        CallerRequest q = r.mRequest;
        WorkEstimate work = new WorkEstimate(q.cost().promptTokens(), 0, q.cost().outputTokens());
        Hints hints = new Hints(outliers(q), now);
        Placement p =
                mPolicy.place(new PlacementRequest(r.mChatKey, q.account(), work), view, hints);
        return q.chat() == 0 ? lessLoadedFirst(p) : p;
    }

    /** A request of no chat may go anywhere: of two picked by chance, the less loaded one. */
    private Placement lessLoadedFirst(Placement p) {
        if (p.candidates().size() < 2) {
            return p;
        }
        List<Candidate> order = new ArrayList<>(p.candidates());
        if (load(order.get(1).id()).runningWork() < load(order.get(0).id()).runningWork()) {
            Collections.swap(order, 0, 1);
        }
        return new Placement(order, PlacementReason.LOAD, p.viewVersion());
    }

    private static String reasonName(PlacementReason reason) {
        return reason.name().toLowerCase(Locale.ROOT);
    }

    private Outliers outliers(CallerRequest q) {
        ServiceOutliers e = mOutliersByService.get(q.service());
        if (e == null || !e.config().equals(q.ejection())) {
            e = new ServiceOutliers(q.ejection());
            mOutliersByService.put(q.service(), e);
        }
        return e.outliers();
    }

    /** A service's failing backend servers, by the settings under which they were judged. */
    private record ServiceOutliers(OutlierConfig config, Outliers outliers) {
        ServiceOutliers(OutlierConfig config) {
            this(config, new Outliers(config));
        }
    }

    /**
     * Returns the load that a backend server last told this router. What an earlier run of its
     * sidecar told ended with that run: a restarted one would count as busy with what it no longer
     * runs, and never be asked again where others are idle.
     */
    LoadHint load(String id) {
        Backend b = mMemberships.backend(id);
        return b == null ? LoadHint.UNKNOWN : mLoads.getOrDefault(b.ref(), LoadHint.UNKNOWN);
    }

    /** Returns the mean load of a service as control last told it, or 0. */
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

    /** Notes that a sidecar is another run than this router knows of. */
    void onOtherIncarnation(Instant now, ActiveRequest r) {
        mAvoidedUntil.put(r.mTarget.ref().id(), now.plus(AVOIDANCE_DURATION));
    }

    /** Notes that a backend server began to answer a request. */
    void onAnswer(ActiveRequest r) {
        String id = r.mTarget.ref().id();
        outliers(r.mRequest).onSuccess(id);
        if (r.mRequest.chat() != 0) {
            mLastServers.put(r.mChatKey, id);
        }
    }

    /** Notes that a backend server broke off or stayed silent. */
    void onFailure(Instant now, ActiveRequest r) {
        String service = r.mRequest.service();
        int servers = mMemberships.view(service).size();
        outliers(r.mRequest).onFailure(r.mTarget.ref().id(), servers, now);
    }

    /** Forgets the hints about backend servers that are gone; only when the membership changed. */
    void prune() {
        mLoads.keySet().removeIf(ref -> !isPresent(ref));
        mAvoidedUntil.keySet().removeIf(id -> mMemberships.backend(id) == null);
        mOutliersByService.forEach(
                (service, e) ->
                        mMemberships
                                .view(service)
                                .departed()
                                .forEach(c -> e.outliers().onLeave(c.id())));
    }

    private boolean isPresent(BackendRef ref) {
        Backend b = mMemberships.backend(ref.id());
        return b != null && b.ref().equals(ref);
    }

    private final class Hints implements PlacementHints {
        private final Outliers mOutliers;
        private final Instant mNow;

        Hints(Outliers of, Instant now) {
            mOutliers = of;
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
