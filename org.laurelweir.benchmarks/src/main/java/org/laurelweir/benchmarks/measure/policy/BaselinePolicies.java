package org.laurelweir.benchmarks.measure.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.WeakHashMap;
import java.util.function.Function;
import org.laurelweir.benchmarks.ranking.RendezvousRanker;
import org.laurelweir.placement.Candidate;
import org.laurelweir.placement.Placement;
import org.laurelweir.placement.PlacementHints;
import org.laurelweir.placement.PlacementPolicy;
import org.laurelweir.placement.PlacementReason;
import org.laurelweir.placement.ServiceView;

/** Creates the baseline policies. They keep nothing but what they derive from the current view. */
final class BaselinePolicies {
    private static final int MAX_CANDIDATES = 3;

    private BaselinePolicies() {}

    /**
     * Returns a function from a view to its backend servers that are not draining. It caches the
     * result of each view.
     */
    static Function<ServiceView, List<Candidate>> openCandidates() {
        Map<ServiceView, List<Candidate>> cache = new WeakHashMap<>();
        return view -> cache.computeIfAbsent(view, BaselinePolicies::openCandidates);
    }

    private static List<Candidate> openCandidates(ServiceView view) {
        return view.candidates().stream().filter(c -> !c.draining()).toList();
    }

    /** Returns a policy that picks the two servers with the least work known to the router. */
    static PlacementPolicy leastLoaded() {
        Function<ServiceView, List<Candidate>> open = openCandidates();
        return (request, view, hints) -> {
            List<Candidate> all = open.apply(view);
            Candidate first = leastLoadedExcept(all, hints, null);
            Candidate second = leastLoadedExcept(all, hints, first);
            return new Placement(List.of(first, second), PlacementReason.LOAD, view.version());
        };
    }

    private static Candidate leastLoadedExcept(
            List<Candidate> all, PlacementHints hints, Candidate excluded) {
        Candidate least = null;
        double leastWork = Double.POSITIVE_INFINITY;
        for (Candidate c : all) {
            double work = hints.runningWork(c.id());
            if (c != excluded && work < leastWork) {
                least = c;
                leastWork = work;
            }
        }
        return least == null ? excluded : least;
    }

    /** Returns a policy that ranks servers by a rendezvous hash and ignores load. */
    static PlacementPolicy rendezvous() {
        Map<ServiceView, RendezvousRanker> rankers = new WeakHashMap<>();
        return (request, view, hints) ->
                new Placement(
                        ranker(rankers, view).top(request.chat(), MAX_CANDIDATES),
                        PlacementReason.HOME,
                        view.version());
    }

    /**
     * Returns a policy that picks the first servers by rendezvous hash whose reported work, with
     * this request, is at most {@code factor} times the mean. If no server is, it ignores load.
     */
    static PlacementPolicy boundedLoad(double factor) {
        Map<ServiceView, RendezvousRanker> rankers = new WeakHashMap<>();
        return (request, view, hints) -> {
            List<Candidate> ranked = ranker(rankers, view).top(request.chat(), view.size());
            double maxWork = factor * meanWork(ranked, hints) - request.work().outputTokens();
            List<Candidate> order = new ArrayList<>(MAX_CANDIDATES);
            for (Candidate c : ranked) {
                if (order.size() < MAX_CANDIDATES && hints.runningWork(c.id()) <= maxWork) {
                    order.add(c);
                }
            }
            if (order.isEmpty()) {
                order = ranked.subList(0, Math.min(MAX_CANDIDATES, ranked.size()));
            }
            return new Placement(order, PlacementReason.HOME, view.version());
        };
    }

    private static double meanWork(List<Candidate> candidates, PlacementHints hints) {
        double sum = 0;
        for (Candidate c : candidates) {
            sum += hints.runningWork(c.id());
        }
        return sum / candidates.size();
    }

    private static RendezvousRanker ranker(
            Map<ServiceView, RendezvousRanker> rankers, ServiceView view) {
        return rankers.computeIfAbsent(view, v -> new RendezvousRanker(openCandidates(v)));
    }
}
