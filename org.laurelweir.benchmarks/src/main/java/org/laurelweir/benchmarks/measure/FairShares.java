package org.laurelweir.benchmarks.measure;

import java.util.List;
import java.util.Locale;
import org.laurelweir.benchmarks.measure.Deployment.Surge;
import org.laurelweir.benchmarks.measure.fleet.Run;
import org.laurelweir.benchmarks.measure.fleet.RunMeasurements;
import org.laurelweir.benchmarks.measure.policy.FairScheme;
import org.laurelweir.benchmarks.measure.workload.SurgeTrace;
import org.laurelweir.benchmarks.measure.workload.Trace;
import org.laurelweir.benchmarks.measure.workload.TraceGenerator;

/**
 * Measures the effect of one client account's tenfold surge on the other accounts. The same
 * arrivals run with and without the surge, without churn. Only requests from the surge's start to
 * two minutes after its end count.
 */
final class FairShares {
    private static final double SURGE_START_MINUTE = 10;
    private static final double SURGE_MINUTES = 3;
    private static final double RUN_MINUTES = 15;
    private static final double SURGE_FACTOR = 10;
    private static final int[] SURGING_ACCOUNTS = {3, 0};

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
            Deployment d = withoutSurges(Deployment.read(name));
            for (int account : SURGING_ACCOUNTS) {
                append(out, d, account);
            }
        }
        return out.toString();
    }

    private void append(StringBuilder out, Deployment d, int account) {
        double load = 1 + SurgeTrace.accountShare(d.accounts(), account) * (SURGE_FACTOR - 1);
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
            RunMeasurements surged = play(d, scheme, account);
            out.append(line(scheme, "surge", new AccountMisses(surged, account)));
        }
        out.append('\n');
    }

    /** Executes a run in which an account surges; no account surges if it is negative. */
    RunMeasurements play(Deployment d, FairScheme scheme, int account) {
        Trace trace = TraceGenerator.generate(d, mSeed);
        if (account >= 0) {
            Surge s = new Surge(account, SURGE_START_MINUTE, SURGE_MINUTES, SURGE_FACTOR, 0);
            trace = SurgeTrace.add(trace, d, s, mSeed);
        }
        return new Run(d, trace, List.of(), scheme::newScheme, mSeed).play();
    }

    /** Returns a deployment without its own surges, whose warm-up ends when the surge starts. */
    static Deployment withoutSurges(Deployment d) {
        return new Deployment(
                d.name(),
                d.routers(),
                d.requestsPerSecond(),
                RUN_MINUTES,
                SURGE_START_MINUTE,
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
                m.othersMissedShare(),
                m.othersRejected(),
                m.worstMissedShare(),
                m.missedShare(m.surging()),
                m.rejected(m.surging()));
    }
}
