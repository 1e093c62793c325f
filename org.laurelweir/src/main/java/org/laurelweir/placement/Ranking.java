package org.laurelweir.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import net.openhft.hashing.LongHashFunction;

/**
 * Ranks the backend servers of a service for a chat, by multi-probe consistent hashing. A backend
 * server has {@value #POINTS_PER_WEIGHT} points on a circle of 63 bits for each unit of weight, a
 * chat has {@value #PROBES} probes; the server's distance is the least way from any probe forward
 * to any of its points, and the nearest ranks first.
 *
 * <p>A server's distance does not depend on the other servers. So the order of the rest stays when
 * one joins or leaves, and a join moves only the chats that the new server ranks first for, as with
 * rendezvous hashing. Unlike that, the nearest few are found without looking at every server: a
 * ranking costs the same at 100 servers and at 4,000. docs/design/placement.md has the figures.
 */
public final class Ranking {
    /** Probes of a chat: more even the shares out and cost time in proportion. */
    static final int PROBES = 21;

    /** Points of a backend server of weight 1; the inverse is the finest step of a weight. */
    static final int POINTS_PER_WEIGHT = 8;

    private static final LongHashFunction XXH3 = LongHashFunction.xx3();
    private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;
    private static final int CIRCLE_BITS = 63;

    private final Candidate[] mCandidates;
    private final long[] mPoints;
    private final int[] mOwners;

    /** Index of the first point in each equal slice of the circle, to find a successor at once. */
    private final int[] mSliceStarts;

    private final int mSliceShift;

    private Ranking(Candidate[] candidates) {
        mCandidates = candidates;
        long[][] sorted = sortedPoints(candidates);
        mPoints = sorted[0];
        mOwners = Arrays.stream(sorted[1]).mapToInt(o -> (int) o).toArray();
        int bits = Math.max(1, Long.SIZE - Long.numberOfLeadingZeros(mPoints.length));
        mSliceShift = CIRCLE_BITS - bits;
        mSliceStarts = sliceStarts(mPoints, bits, mSliceShift);
    }

    /**
     * Returns the ranking of some backend servers.
     *
     * @param candidates in any order; those of weight 0 are never ranked
     */
    public static Ranking of(Collection<Candidate> candidates) {
        Candidate[] sorted = candidates.toArray(new Candidate[0]);
        Arrays.sort(sorted, Comparator.comparing(Candidate::id));
        return new Ranking(sorted);
    }

    private static long[][] sortedPoints(Candidate[] candidates) {
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

    /** Returns how many backend servers can be ranked at most. */
    public int size() {
        return mCandidates.length;
    }

    /**
     * Returns the first backend servers for a chat.
     *
     * @param chat the chat
     * @param k how many at most
     * @return at most {@code k} different backend servers, the home first
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
     * Returns the first backend servers for a chat as if one were absent.
     *
     * @param chat the chat
     * @param absent the name of the backend server to pass over
     * @param k how many at most
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
     * Returns how far a backend server is from a chat, whether it is a member or not. Of two, the
     * one with the smaller distance ranks first.
     *
     * @param chat the chat
     * @param candidate a present or former backend server
     */
    public static long distance(ChatKey chat, Candidate candidate) {
        long least = Long.MAX_VALUE;
        long seed = seed(candidate);
        for (int p = 0; p < pointCount(candidate); p++) {
            long point = circlePosition(seed, p);
            for (int i = 0; i < PROBES; i++) {
                least = Math.min(least, forwardDistance(circlePosition(chat.hash(), i), point));
            }
        }
        return least;
    }

    private void collectNearest(long probe, Nearest nearest) {
        int at = mSliceStarts[(int) (probe >>> mSliceShift)];
        while (at < mPoints.length && mPoints[at] < probe) {
            at++;
        }
        for (int steps = 0; steps < mPoints.length; steps++) {
            if (at == mPoints.length) {
                at = 0;
            }
            long distance = forwardDistance(probe, mPoints[at]);
            if (distance >= nearest.maxDistance()) {
                return;
            }
            nearest.offer(distance, mOwners[at]);
            at++;
        }
    }

    private static int pointCount(Candidate candidate) {
        if (candidate.weight() == 0) {
            return 0;
        }
        return (int) Math.max(1, Math.round(candidate.weight() * POINTS_PER_WEIGHT));
    }

    private static long seed(Candidate candidate) {
        return XXH3.hashChars(candidate.id());
    }

    private static long forwardDistance(long from, long to) {
        return (to - from) & Long.MAX_VALUE;
    }

    /** Returns a place on the circle: the finalizer of SplitMix64 over a seed's i-th successor. */
    private static long circlePosition(long seed, int i) {
        long z = seed + (i + 1) * GOLDEN_GAMMA;
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return (z ^ (z >>> 31)) & Long.MAX_VALUE;
    }

    /** The nearest different owners seen so far, in order. */
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
            int at = indexOf(owner);
            if (at >= 0 && mDistances[at] <= distance) {
                return;
            }
            if (at < 0) {
                at = mCount < mOwners.length ? mCount++ : mCount - 1;
            }
            while (at > 0 && mDistances[at - 1] > distance) {
                mDistances[at] = mDistances[at - 1];
                mOwners[at] = mOwners[at - 1];
                at--;
            }
            mDistances[at] = distance;
            mOwners[at] = owner;
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
