package org.laurelweir.benchmarks.ranking;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import net.openhft.hashing.LongHashFunction;
import org.laurelweir.placement.Candidate;
import org.laurelweir.placement.ChatKey;

/**
 * Weighted rendezvous hashing. Every request computes a score for every server, from hashes of the
 * server names that are computed once.
 */
public final class RendezvousRanker implements Ranker {
    private static final double TO_UNIT_INTERVAL = 0x1.0p-53;

    private final List<Candidate> mCandidates;
    private final long[] mSeeds;
    private final boolean mWeighted;

    /** Creates a ranker and computes the hashes of the server names. */
    public RendezvousRanker(Collection<Candidate> candidates) {
        mCandidates = candidates.stream().sorted(Comparator.comparing(Candidate::id)).toList();
        mSeeds =
                mCandidates.stream()
                        .mapToLong(c -> LongHashFunction.xx3().hashChars(c.id()))
                        .toArray();
        mWeighted = mCandidates.stream().anyMatch(c -> c.weight() != 1);
    }

    @Override
    public List<Candidate> top(ChatKey chat, int k) {
        int maxCount = Math.min(k, mSeeds.length);
        double[] scores = new double[maxCount];
        int[] owners = new int[maxCount];
        int count = 0;
        for (int i = 0; i < mSeeds.length; i++) {
            double score = score(chat.hash(), i);
            if (count == maxCount && score <= scores[count - 1]) {
                continue;
            }
            int at = count < maxCount ? count++ : count - 1;
            while (at > 0 && scores[at - 1] < score) {
                scores[at] = scores[at - 1];
                owners[at] = owners[at - 1];
                at--;
            }
            scores[at] = score;
            owners[at] = i;
        }
        List<Candidate> top = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            top.add(mCandidates.get(owners[i]));
        }
        return top;
    }

    private double score(long chat, int i) {
        double unit = ((mix(chat ^ mSeeds[i]) >>> 11) + 0.5) * TO_UNIT_INTERVAL;
        return mWeighted ? -mCandidates.get(i).weight() / Math.log(unit) : unit;
    }

    private static long mix(long z) {
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }
}
