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

/** Baselines that need no state of their own. */
final class Choices {
    private static final int TRIES = 3;

    private Choices() {}

    /** Returns a memory of the servers of each view that take new work. */
    static Function<ServiceView, List<Candidate>> open() {
        Map<ServiceView, List<Candidate>> known = new WeakHashMap<>();
        return view -> known.computeIfAbsent(view, Choices::open);
    }

    private static List<Candidate> open(ServiceView view) {
        return view.candidates().stream().filter(c -> !c.draining()).toList();
    }

    /** The server with the least load that the router knows of. */
    static PlacementPolicy leastLoaded() {
        Function<ServiceView, List<Candidate>> open = open();
        return (request, view, hints) -> {
            List<Candidate> all = open.apply(view);
            Candidate first = least(all, hints, null);
            Candidate second = least(all, hints, first);
            return new Placement(List.of(first, second), PlacementReason.LOAD, view.version());
        };
    }

    private static Candidate least(List<Candidate> all, PlacementHints hints, Candidate but) {
        Candidate least = null;
        double work = Double.POSITIVE_INFINITY;
        for (Candidate c : all) {
            double w = hints.runningWork(c.id());
            if (c != but && w < work) {
                least = c;
                work = w;
            }
        }
        return least == null ? but : least;
    }

    /** The first in rank by a plain rendezvous hash. */
    static PlacementPolicy rendezvous() {
        Map<ServiceView, RendezvousRanker> rankers = new WeakHashMap<>();
        return (request, view, hints) ->
                new Placement(
                        ranker(rankers, view).top(request.chat(), TRIES),
                        PlacementReason.HOME,
                        view.version());
    }

    /** The first in rank whose reported load lies under a multiple of the mean. */
    static PlacementPolicy boundedLoad(double factor) {
        Map<ServiceView, RendezvousRanker> rankers = new WeakHashMap<>();
        return (request, view, hints) -> {
            List<Candidate> ranked = ranker(rankers, view).top(request.chat(), view.size());
            double most = factor * mean(ranked, hints) - request.work().outputTokens();
            List<Candidate> order = new ArrayList<>(TRIES);
            for (Candidate c : ranked) {
                if (order.size() < TRIES && hints.runningWork(c.id()) <= most) {
                    order.add(c);
                }
            }
            if (order.isEmpty()) {
                order = ranked.subList(0, Math.min(TRIES, ranked.size()));
            }
            return new Placement(order, PlacementReason.HOME, view.version());
        };
    }

    private static double mean(List<Candidate> candidates, PlacementHints hints) {
        double sum = 0;
        for (Candidate c : candidates) {
            sum += hints.runningWork(c.id());
        }
        return sum / candidates.size();
    }

    private static RendezvousRanker ranker(
            Map<ServiceView, RendezvousRanker> rankers, ServiceView view) {
        return rankers.computeIfAbsent(view, v -> new RendezvousRanker(open(v)));
    }
}
