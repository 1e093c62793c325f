package org.laurelweir.benchmarks.measure;

import java.util.List;
import java.util.Locale;
import org.laurelweir.benchmarks.measure.Deployment.Surge;
import org.laurelweir.benchmarks.measure.fleet.Figures;
import org.laurelweir.benchmarks.measure.fleet.Run;
import org.laurelweir.benchmarks.measure.policy.FairScheme;
import org.laurelweir.benchmarks.measure.workload.SurgeTrace;
import org.laurelweir.benchmarks.measure.workload.Trace;
import org.laurelweir.benchmarks.measure.workload.TraceGenerator;

/**
 * What one client account's tenfold surge does to the others. The same arrivals are played with and
 * without it, without churn; only requests from the surge's start to two minutes after its end
 * count.
 */
final class FairShares {
    private static final double START_MINUTE = 10;
    private static final double SURGE_MINUTES = 3;
    private static final double MINUTES = 15;
    private static final double FACTOR = 10;
    private static final int[] SURGING = {3, 0};

    private final List<String> mDeployments;
    private final long mSeed;

    FairShares(List<String> deployments, long seed) {
        mDeployments = deployments;
        mSeed = seed;
    }

    /** Returns the table of all deployments. */
    String table() {
        StringBuilder out = new StringBuilder();
        for (String name : mDeployments) {
            Deployment d = cut(Deployment.read(name));
            for (int account : SURGING) {
                append(out, d, account);
            }
        }
        return out.toString();
    }

    private void append(StringBuilder out, Deployment d, int account) {
        double load = 1 + SurgeTrace.share(d.accounts(), account) * (FACTOR - 1);
        out.append(
                String.format(
                        Locale.ROOT,
                        "%s: account %d tenfold, %.2f times the requests, seed %d%n%n"
                                + "| queue | run | others' requests | missed | share | rejected"
                                + " | worst account's share | surging one's share | rejected |%n"
                                + "|%s%n",
                        d.name(),
                        account,
                        load,
                        mSeed,
                        " --- |".repeat(9)));
        for (FairScheme scheme : FairScheme.values()) {
            out.append(line(scheme, "usual", new AccountMisses(play(d, scheme, -1), account)));
            Figures surged = play(d, scheme, account);
            out.append(line(scheme, "surge", new AccountMisses(surged, account)));
        }
        out.append('\n');
    }

    /** Plays a run; a negative account for none that surges. */
    Figures play(Deployment d, FairScheme scheme, int account) {
        Trace trace = TraceGenerator.generate(d, mSeed);
        if (account >= 0) {
            Surge s = new Surge(account, START_MINUTE, SURGE_MINUTES, FACTOR, 0);
            trace = SurgeTrace.add(trace, d, s, mSeed);
        }
        return new Run(d, trace, List.of(), scheme::newScheme, mSeed).play();
    }

    /** Returns a deployment without its own surges, counted from this surge on. */
    static Deployment cut(Deployment d) {
        return new Deployment(
                d.name(),
                d.routers(),
                d.requestsPerSecond(),
                MINUTES,
                START_MINUTE,
                d.services(),
                d.accounts(),
                d.chats(),
                d.engine(),
                d.bound(),
                d.lags(),
                d.churn(),
                List.of());
    }

    private static String line(FairScheme scheme, String run, AccountMisses m) {
        return String.format(
                Locale.ROOT,
                "| %s | %s | %d | %d | %.4f | %d | %.4f | %.4f | %d |%n",
                scheme.title(),
                run,
                m.othersArrived(),
                m.othersMissed(),
                m.othersShare(),
                m.othersRejected(),
                m.worstShare(),
                m.share(m.surging()),
                m.rejected(m.surging()));
    }
}
