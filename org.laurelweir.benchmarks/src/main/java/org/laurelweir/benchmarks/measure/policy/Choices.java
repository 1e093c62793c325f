package org.laurelweir.benchmarks.measure.policy;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.WeakHashMap;
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

    /** Returns the servers that take new work, as the view has it. */
    static List<Candidate> open(ServiceView view) {
        return view.candidates().stream().filter(c -> !c.draining()).toList();
    }

    /** The server with the least load that the router knows of. */
    static PlacementPolicy leastLoaded() {
        return (request, view, hints) ->
                new Placement(
                        open(view).stream().sorted(byLoad(hints)).limit(TRIES).toList(),
                        PlacementReason.LOAD,
                        view.version());
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
            double mean =
                    ranked.stream().mapToDouble(c -> hints.runningWork(c.id())).average().orElse(0);
            double most = factor * mean - request.work().outputTokens();
            List<Candidate> under =
                    ranked.stream().filter(c -> hints.runningWork(c.id()) <= most).toList();
            List<Candidate> order = under.isEmpty() ? ranked : under;
            return new Placement(
                    order.subList(0, Math.min(TRIES, order.size())),
                    PlacementReason.HOME,
                    view.version());
        };
    }

    private static RendezvousRanker ranker(
            Map<ServiceView, RendezvousRanker> rankers, ServiceView view) {
        return rankers.computeIfAbsent(view, v -> new RendezvousRanker(open(v)));
    }

    private static Comparator<Candidate> byLoad(PlacementHints hints) {
        return Comparator.comparingDouble(c -> hints.runningWork(c.id()));
    }
}
