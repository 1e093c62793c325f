package org.laurelweir.benchmarks.measure;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Supplier;
import org.laurelweir.benchmarks.measure.fleet.ChurnPlan;
import org.laurelweir.benchmarks.measure.fleet.MembershipEvent;
import org.laurelweir.benchmarks.measure.fleet.Run;
import org.laurelweir.benchmarks.measure.fleet.RunMeasurements;
import org.laurelweir.benchmarks.measure.policy.Policy;
import org.laurelweir.benchmarks.measure.report.Comparison;
import org.laurelweir.benchmarks.measure.report.JsonReport;
import org.laurelweir.benchmarks.measure.report.PlotReport;
import org.laurelweir.benchmarks.measure.report.TableReport;
import org.laurelweir.benchmarks.measure.workload.Trace;
import org.laurelweir.benchmarks.measure.workload.TraceGenerator;

/** Runs every policy on every deployment and writes a table, JSON and plots. */
@Command(name = "measure", description = "Compares placement policies on generated arrivals")
public final class MeasureCommand {
    @AirlineModule private HelpOption<MeasureCommand> mHelp;

    @Option(name = "--seed", description = "The same seed gives the same figures; 1 if absent")
    private long mSeed = 1;

    @Option(
            name = "--deployment",
            description = "fjordvik, archive, scaled or a YAML file; the three if absent")
    private List<String> mDeployments = new ArrayList<>();

    @Option(name = "--policy", description = "Names of policies; all if absent")
    private List<String> mPolicies = new ArrayList<>();

    @Option(name = "--out", description = "Folder for JSON and plots; target/measure if absent")
    private String mOut = "target/measure";

    @Option(name = "--fair", description = "Instead: one account's surge and the others' deadlines")
    private boolean mFair;

    @Option(name = "--threads", description = "Runs played at the same time; 4 if absent")
    private int mThreads = 4;

    /** Runs the command. */
    public void call() {
        if (mHelp.showHelpIfRequested()) {
            return;
        }
        if (mDeployments.isEmpty()) {
            mDeployments = List.of("fjordvik", "archive", "scaled");
        }
        if (mFair) {
            System.out.println(new FairShares(mDeployments, mSeed).table());
            return;
        }
        ExecutorService pool = Executors.newFixedThreadPool(mThreads);
        try {
            List<Supplier<Comparison>> comparisons = new ArrayList<>();
            for (String name : mDeployments) {
                comparisons.add(startRuns(Deployment.read(name), pool));
            }
            comparisons.forEach(s -> report(s.get()));
        } finally {
            pool.shutdown();
        }
    }

    private void report(Comparison comparison) {
        System.out.println(TableReport.table(comparison));
        Path folder = Path.of(mOut, comparison.deployment().name());
        JsonReport.write(comparison, folder);
        PlotReport.write(comparison, folder);
    }

    /** Starts all runs of a deployment and returns a supplier that waits for their results. */
    private Supplier<Comparison> startRuns(Deployment deployment, ExecutorService pool) {
        Trace trace = TraceGenerator.generate(deployment, mSeed);
        List<MembershipEvent> churn = ChurnPlan.generate(deployment, mSeed);
        Map<Policy, Future<RunMeasurements>> runs = new EnumMap<>(Policy.class);
        for (Policy p : policies()) {
            Callable<RunMeasurements> play =
                    () -> new Run(deployment, trace, churn, p::newScheme, mSeed).play();
            runs.put(p, pool.submit(play));
        }
        return () -> {
            Map<Policy, RunMeasurements> figures = new EnumMap<>(Policy.class);
            runs.forEach((p, run) -> figures.put(p, awaitResult(run)));
            return new Comparison(deployment, mSeed, figures);
        };
    }

    /** Returns the selected policies and the oracle, which the others are compared with. */
    private Set<Policy> policies() {
        if (mPolicies.isEmpty()) {
            return EnumSet.allOf(Policy.class);
        }
        Set<Policy> policies = EnumSet.of(Policy.ALL_KNOWING);
        mPolicies.forEach(name -> policies.add(Policy.valueOf(name)));
        return policies;
    }

    private static RunMeasurements awaitResult(Future<RunMeasurements> run) {
        try {
            return run.get();
        } catch (InterruptedException | ExecutionException e) {
            throw new IllegalStateException("a run failed", e);
        }
    }
}
