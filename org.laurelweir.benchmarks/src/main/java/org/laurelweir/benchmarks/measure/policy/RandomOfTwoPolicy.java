package org.laurelweir.benchmarks.measure.policy;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.laurelweir.placement.Candidate;
import org.laurelweir.placement.Placement;
import org.laurelweir.placement.PlacementHints;
import org.laurelweir.placement.PlacementPolicy;
import org.laurelweir.placement.PlacementReason;
import org.laurelweir.placement.PlacementRequest;
import org.laurelweir.placement.ServiceView;

/** Draws two servers at random, asks both for their load and picks the less loaded one. */
final class RandomOfTwoPolicy implements PlacementPolicy {
    private final Function<ServiceView, List<Candidate>> mOpenCandidates =
            BaselinePolicies.openCandidates();
    private final SplittableRandom mRandom;

    RandomOfTwoPolicy(long seed) {
        mRandom = new SplittableRandom(seed);
    }

    @Override
    public Placement place(PlacementRequest request, ServiceView view, PlacementHints hints) {
        List<Candidate> open = mOpenCandidates.apply(view);
        Candidate first = open.get(mRandom.nextInt(open.size()));
        Candidate second = open.get(mRandom.nextInt(open.size()));
        boolean firstIsLess = hints.runningWork(first.id()) <= hints.runningWork(second.id());
        List<Candidate> order = firstIsLess ? List.of(first, second) : List.of(second, first);
        return new Placement(order, PlacementReason.LOAD, view.version());
    }
}
