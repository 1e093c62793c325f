package org.laurelweir.benchmarks.ranking;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import net.openhft.hashing.LongHashFunction;
import org.laurelweir.placement.Candidate;
import org.laurelweir.placement.ChatKey;

/**
 * Consistent hashing on a ring. A chat has one point; the servers that follow it on the ring rank
 * first, each counted once.
 */
public final class RingRanker implements Ranker {
    private final List<Candidate> mCandidates;
    private final long[] mPoints;
    private final int[] mOwners;

    /**
     * Creates a ranker and builds the ring.
     *
     * @param candidates the servers
     * @param pointsPerServer number of points of each server on the ring
     */
    public RingRanker(Collection<Candidate> candidates, int pointsPerServer) {
        mCandidates = candidates.stream().sorted(Comparator.comparing(Candidate::id)).toList();
        long[][] all = new long[mCandidates.size() * pointsPerServer][];
        for (int i = 0; i < all.length; i++) {
            int owner = i / pointsPerServer;
            String name = mCandidates.get(owner).id() + "#" + i % pointsPerServer;
            all[i] = new long[] {LongHashFunction.xx3().hashChars(name), owner};
        }
        Arrays.sort(all, Comparator.comparingLong(a -> a[0]));
        mPoints = Arrays.stream(all).mapToLong(a -> a[0]).toArray();
        mOwners = Arrays.stream(all).mapToInt(a -> (int) a[1]).toArray();
    }

    @Override
    public List<Candidate> top(ChatKey chat, int k) {
        int found = Arrays.binarySearch(mPoints, chat.hash());
        int at = found < 0 ? -found - 1 : found;
        List<Candidate> top = new ArrayList<>(k);
        for (int i = 0; i < mPoints.length && top.size() < k; i++) {
            Candidate c = mCandidates.get(mOwners[(at + i) % mPoints.length]);
            if (!top.contains(c)) {
                top.add(c);
            }
        }
        return top;
    }
}
