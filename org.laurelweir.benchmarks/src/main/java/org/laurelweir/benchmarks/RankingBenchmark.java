package org.laurelweir.benchmarks;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.laurelweir.benchmarks.ranking.Ranker;
import org.laurelweir.benchmarks.ranking.RendezvousRanker;
import org.laurelweir.benchmarks.ranking.RingRanker;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.placement.Candidate;
import org.laurelweir.placement.ChatKey;
import org.laurelweir.placement.Ranking;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the ranking of a service's first three backend servers for a chat, by each method. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class RankingBenchmark {
    private static final int MAX_CANDIDATES = 3;
    private static final int RING_POINTS = 128;
    private static final long CHAT_KEY_STEP = 0x9E3779B97F4A7C15L;

    /** Number of backend servers of the service. */
    @Param({"100", "1000", "4000"})
    public int servers;

    /** The ranking method. */
    @Param({"multiprobe", "rendezvous", "weightedRendezvous", "ring"})
    public String way;

    private Ranker mRanker;
    private long mChat;

    @Setup
    public void prepare() {
        double weight = way.equals("weightedRendezvous") ? 2 : 1;
        List<Candidate> all =
                IntStream.range(0, servers)
                        .mapToObj(i -> new BackendRef("worker-" + i, 1))
                        .map(ref -> new Candidate(ref, "bergen", weight))
                        .toList();
        mRanker = newRanker(all);
    }

    private Ranker newRanker(List<Candidate> all) {
        if (way.equals("ring")) {
            return new RingRanker(all, RING_POINTS);
        }
        return way.equals("multiprobe") ? Ranking.of(all)::top : new RendezvousRanker(all);
    }

    /** Ranks three servers, for a different chat at each call. */
    @Benchmark
    public List<Candidate> top() {
        mChat += CHAT_KEY_STEP;
        return mRanker.top(new ChatKey(mChat), MAX_CANDIDATES);
    }
}
