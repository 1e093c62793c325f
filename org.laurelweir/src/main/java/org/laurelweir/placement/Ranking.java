package org.laurelweir.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import net.openhft.hashing.LongHashFunction;

/**
 * Ranks the backend servers of a service for a chat, by multi-probe consistent hashing. A backend
 * server has {@value #POINTS_PER_WEIGHT} points per unit of weight on a circle of 2^63 positions; a
 * chat has {@value #PROBES} probes. The distance of a server is the smallest distance forward from
 * any probe to any of its points. The nearest server ranks first.
 *
 * <p>Where weights are large, as of servers that announce their slots, points are fewer by the
 * power of two that bounds the largest weight: otherwise the points of some thousand servers would
 * not fit into a small heap, and each change of the members would take a second.
 *
 * <p>A server's distance does not depend on the other servers, except for that power of two. When a
 * server joins or leaves, the order of the others therefore stays the same, and a join moves only
 * the chats that rank the new server first, as with rendezvous hashing. Unlike rendezvous hashing,
 * the nearest few are found without a look at every server: a ranking costs the same with 100
 * servers as with 4,000. docs/design/placement.md has the measurements.
 */
public final class Ranking {
    /**
     * Probes per chat. More probes make the servers' shares more even and cost proportionally more
     * time.
     */
    static final int PROBES = 21;

    /**
     * Points of a backend server of weight 1. The inverse is the smallest difference in weight that
     * has an effect.
     */
    static final int POINTS_PER_WEIGHT = 8;

    /**
     * Up to this weight of the heaviest server, points are not made fewer. Fewer than some 16
     * points of a server make the shares uneven enough for hot prompt parts to overload engines.
     */
    private static final double MAX_UNSCALED_WEIGHT = 4;

    private static final LongHashFunction XXH3 = LongHashFunction.xx3();
    private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;
    private static final int CIRCLE_BITS = 63;

    private final Candidate[] mCandidates;
    private final double mPointsPerWeight;
    private final long[] mPoints;
    private final int[] mOwners;

    /**
     * The index of the first point in each of equal slices of the circle. It finds the next point
     * after a probe without a search of all points.
     */
    private final int[] mSliceStarts;

    private final int mSliceShift;

    private Ranking(Candidate[] candidates) {
        mCandidates = candidates;
        mPointsPerWeight = pointsPerWeight(candidates);
        long[][] sorted = sortedPoints(candidates);
        mPoints = sorted[0];
        mOwners = Arrays.stream(sorted[1]).mapToInt(o -> (int) o).toArray();
        int bits = Math.max(1, Long.SIZE - Long.numberOfLeadingZeros(mPoints.length));
        mSliceShift = CIRCLE_BITS - bits;
        mSliceStarts = sliceStarts(mPoints, bits, mSliceShift);
    }

    /**
     * Creates the ranking of a set of backend servers.
     *
     * @param candidates in any order; those of weight 0 are never ranked
     */
    public static Ranking of(Collection<Candidate> candidates) {
        Candidate[] sorted = candidates.toArray(new Candidate[0]);
        Arrays.sort(sorted, Comparator.comparing(Candidate::id));
        return new Ranking(sorted);
    }

    private static double pointsPerWeight(Candidate[] candidates) {
        double max = Arrays.stream(candidates).mapToDouble(Candidate::weight).max().orElse(0);
        double scale = 1;
        while (scale * MAX_UNSCALED_WEIGHT < max) {
            scale *= 2;
        }
        return POINTS_PER_WEIGHT / scale;
    }

    private long[][] sortedPoints(Candidate[] candidates) {
        List<long[]> all = new ArrayList<>();
        for (int i = 0; i < candidates.length; i++) {
            long seed = seed(candidates[i]);
            for (int p = 0; p < pointCount(candidates[i]); p++) {
                all.add(new long[] {circlePosition(seed, p), i});
            }
        }
        all.sort(Comparator.<long[]>comparingLong(a -> a[0]).thenComparingLong(a -> a[1]));
        long[] points = all.stream().mapToLong(a -> a[0]).toArray();
        long[] owners = all.stream().mapToLong(a -> a[1]).toArray();
        return new long[][] {points, owners};
    }

    /** Returns the number of points of all servers, with which time and memory grow. */
    int pointCount() {
        return mPoints.length;
    }

    private static int[] sliceStarts(long[] points, int bits, int shift) {
        int[] slices = new int[1 << bits];
        int next = 0;
        for (int s = 0; s < slices.length; s++) {
            while (next < points.length && points[next] >>> shift < s) {
                next++;
            }
            slices[s] = next;
        }
        return slices;
    }

    /** Returns the number of backend servers, those of weight 0 included. */
    public int size() {
        return mCandidates.length;
    }

    /**
     * Returns the first backend servers for a chat.
     *
     * @param chat the chat
     * @param k the maximum number to return
     * @return up to {@code k} different backend servers, the home first
     */
    public List<Candidate> top(ChatKey chat, int k) {
        int wanted = Math.min(k, mCandidates.length);
        if (wanted <= 0 || mPoints.length == 0) {
            return List.of();
        }
        Nearest nearest = new Nearest(wanted);
        for (int i = 0; i < PROBES; i++) {
            collectNearest(circlePosition(chat.hash(), i), nearest);
        }
        List<Candidate> top = new ArrayList<>(nearest.mCount);
        for (int i = 0; i < nearest.mCount; i++) {
            top.add(mCandidates[nearest.mOwners[i]]);
        }
        return top;
    }

    /**
     * Returns the first backend servers for a chat, without one of them.
     *
     * @param chat the chat
     * @param absent the name of the backend server to leave out
     * @param k the maximum number to return
     */
    public List<Candidate> topWithout(ChatKey chat, String absent, int k) {
        List<Candidate> top = new ArrayList<>(top(chat, k + 1));
        top.removeIf(c -> c.id().equals(absent));
        return top.size() > k ? top.subList(0, k) : top;
    }

    /**
     * Returns the chat's home.
     *
     * @param chat the chat
     * @return the first in rank, or null if there is no backend server
     */
    public Candidate home(ChatKey chat) {
        List<Candidate> top = top(chat, 1);
        return top.isEmpty() ? null : top.get(0);
    }

    /**
     * Returns the distance of a backend server from a chat, whether it is in this ranking or not.
     * Of two servers, the one with the smaller distance ranks first.
     *
     * @param chat the chat
     * @param candidate a current or former backend server
     */
    public long distance(ChatKey chat, Candidate candidate) {
        long smallest = Long.MAX_VALUE;
        long seed = seed(candidate);
        for (int p = 0; p < pointCount(candidate); p++) {
            long point = circlePosition(seed, p);
            for (int i = 0; i < PROBES; i++) {
                smallest =
                        Math.min(smallest, forwardDistance(circlePosition(chat.hash(), i), point));
            }
        }
        return smallest;
    }

    private void collectNearest(long probe, Nearest nearest) {
        int index = mSliceStarts[(int) (probe >>> mSliceShift)];
        while (index < mPoints.length && mPoints[index] < probe) {
            index++;
        }
        for (int steps = 0; steps < mPoints.length; steps++) {
            if (index == mPoints.length) {
                index = 0;
            }
            long distance = forwardDistance(probe, mPoints[index]);
            if (distance >= nearest.maxDistance()) {
                return;
            }
            nearest.offer(distance, mOwners[index]);
            index++;
        }
    }

    private int pointCount(Candidate candidate) {
        if (candidate.weight() == 0) {
            return 0;
        }
        return (int) Math.max(1, Math.round(candidate.weight() * mPointsPerWeight));
    }

    private static long seed(Candidate candidate) {
        return XXH3.hashChars(candidate.id());
    }

    private static long forwardDistance(long from, long to) {
        return (to - from) & Long.MAX_VALUE;
    }

    /** Returns a position on the circle: the SplitMix64 output number {@code i} for a seed. */
    private static long circlePosition(long seed, int i) {
        long z = seed + (i + 1) * GOLDEN_GAMMA;
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return (z ^ (z >>> 31)) & Long.MAX_VALUE;
    }

    /** The nearest owners found so far, without duplicates, nearest first. */
    private static final class Nearest {
        private final long[] mDistances;
        private final int[] mOwners;
        private int mCount;

        Nearest(int k) {
            mDistances = new long[k];
            mOwners = new int[k];
        }

        long maxDistance() {
            return mCount < mOwners.length ? Long.MAX_VALUE : mDistances[mCount - 1];
        }

        void offer(long distance, int owner) {
            int index = indexOf(owner);
            if (index >= 0 && mDistances[index] <= distance) {
                return;
            }
            if (index < 0) {
                index = mCount < mOwners.length ? mCount++ : mCount - 1;
            }
            while (index > 0 && mDistances[index - 1] > distance) {
                mDistances[index] = mDistances[index - 1];
                mOwners[index] = mOwners[index - 1];
                index--;
            }
            mDistances[index] = distance;
            mOwners[index] = owner;
        }

        private int indexOf(int owner) {
            for (int i = 0; i < mCount; i++) {
                if (mOwners[i] == owner) {
                    return i;
                }
            }
            return -1;
        }
    }
}
