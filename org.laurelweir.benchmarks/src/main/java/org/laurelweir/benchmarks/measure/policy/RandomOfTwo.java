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

/** The less loaded of two servers drawn at random, each asked for its load. */
final class RandomOfTwo implements PlacementPolicy {
    private final Function<ServiceView, List<Candidate>> mOpen = Choices.open();
    private final SplittableRandom mRandom;

    RandomOfTwo(long seed) {
        mRandom = new SplittableRandom(seed);
    }

    @Override
    public Placement place(PlacementRequest request, ServiceView view, PlacementHints hints) {
        List<Candidate> all = mOpen.apply(view);
        Candidate one = all.get(mRandom.nextInt(all.size()));
        Candidate two = all.get(mRandom.nextInt(all.size()));
        boolean first = hints.runningWork(one.id()) <= hints.runningWork(two.id());
        List<Candidate> order = first ? List.of(one, two) : List.of(two, one);
        return new Placement(order, PlacementReason.LOAD, view.version());
    }
}
