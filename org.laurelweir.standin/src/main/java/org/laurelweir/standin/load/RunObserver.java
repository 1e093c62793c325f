package org.laurelweir.standin.load;

import java.net.URI;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.standin.AdminEndpoints;
import org.laurelweir.standin.Execution;

/**
 * Compares the counts of stand-ins and routers before and after one run, so that earlier activity
 * does not count.
 */
final class RunObserver {
    private static final String ENGINE = "/engine";
    private static final String PLAIN = "/plain";

    private final Scraper mScraper = new Scraper();
    private final Targets mTargets;
    private final Set<String> mUnreachable = new TreeSet<>();
    private final List<Long> mRunsBefore;
    private final List<Long> mPlainRunsBefore;
    private final List<Long> mControlBefore;

    /**
     * The programs that are read before and after the run; each list may be empty.
     *
     * @param engines base addresses of engines
     * @param plainServices base addresses of plain services
     * @param metrics addresses of routers' metrics pages
     */
    record Targets(List<URI> engines, List<URI> plainServices, List<URI> metrics) {}

    /** Reads the counts before the run. */
    RunObserver(Targets targets) {
        mTargets = targets;
        mRunsBefore = startedCounts(targets.engines(), ENGINE);
        mPlainRunsBefore = startedCounts(targets.plainServices(), PLAIN);
        mControlBefore = targets.metrics().stream().map(mScraper::controlBytes).toList();
    }

    /** Returns how uneven the engines' work was during the run; null without engines. */
    Report.Skew skew() {
        List<Double> requests = new ArrayList<>();
        List<Double> tokens = new ArrayList<>();
        for (int i = 0; i < mTargets.engines().size(); i++) {
            List<Execution> runs = runsSince(mTargets.engines().get(i), ENGINE, mRunsBefore.get(i));
            requests.add((double) runs.size());
            tokens.add(runs.stream().mapToDouble(RunObserver::tokens).sum());
        }
        return requests.isEmpty()
                ? null
                : new Report.Skew(busiestOverMean(requests), busiestOverMean(tokens));
    }

    /** Returns the bytes that each router exchanged with control during the run. */
    List<Report.Control> controlTraffic(double seconds) {
        List<Report.Control> all = new ArrayList<>();
        for (int i = 0; i < mTargets.metrics().size(); i++) {
            URI page = mTargets.metrics().get(i);
            controlBytesSince(page, mControlBefore.get(i))
                    .ifPresent(b -> all.add(new Report.Control(page.toString(), b, b / seconds)));
        }
        return all;
    }

    private OptionalLong controlBytesSince(URI page, long before) {
        try {
            return OptionalLong.of(mScraper.controlBytes(page) - before);
        } catch (LaurelweirException e) {
            mUnreachable.add(page.toString());
            return OptionalLong.empty();
        }
    }

    /** Returns the idempotency keys that ran more than once during the run, over all services. */
    List<String> repeatedRuns() {
        Set<String> seen = new HashSet<>();
        Set<String> repeated = new TreeSet<>();
        for (int i = 0; i < mTargets.plainServices().size(); i++) {
            URI service = mTargets.plainServices().get(i);
            runsSince(service, PLAIN, mPlainRunsBefore.get(i)).stream()
                    .map(Execution::idempotencyKey)
                    .filter(Objects::nonNull)
                    .filter(k -> !seen.add(k))
                    .forEach(repeated::add);
        }
        return List.copyOf(repeated);
    }

    /**
     * Returns the addresses that could not be read completely after the run; the figures lack their
     * data.
     */
    List<String> unreachable() {
        return List.copyOf(mUnreachable);
    }

    private List<Long> startedCounts(List<URI> standins, String prefix) {
        return standins.stream().map(s -> mScraper.executions(s, prefix).started()).toList();
    }

    /**
     * Returns the runs of a stand-in after the first {@code before} ones. A stand-in that was
     * restarted has an empty log at its start, so all of its runs count.
     */
    private List<Execution> runsSince(URI standin, String prefix, long before) {
        try {
            AdminEndpoints.Executions e = mScraper.executions(standin, prefix);
            long first = e.started() < before ? 0 : before;
            if (e.lacksRunsAfter(first)) {
                mUnreachable.add(standin + " (it holds only its newest runs)");
            }
            return e.executions().stream().skip(Math.max(0, first - e.dropped())).toList();
        } catch (LaurelweirException e) {
            mUnreachable.add(standin.toString());
            return List.of();
        }
    }

    static double busiestOverMean(List<Double> work) {
        double sum = work.stream().mapToDouble(Double::doubleValue).sum();
        double max = work.stream().mapToDouble(Double::doubleValue).max().orElse(0);
        return sum == 0 ? 0 : max * work.size() / sum;
    }

    private static double tokens(Execution e) {
        if (e.work() == null) {
            return 0;
        }
        return e.work().promptTokens() - e.work().cachedTokens() + e.work().outputTokens();
    }
}
