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

/** Watches stand-ins and routers over one run: what they did before it does not count. */
final class Observed {
    private static final String ENGINE = "/engine";
    private static final String PLAIN = "/plain";

    private final Scraper mScraper = new Scraper();
    private final Targets mTargets;
    private final Set<String> mUnreachable = new TreeSet<>();
    private final List<Long> mRunsBefore;
    private final List<Long> mPlainRunsBefore;
    private final List<Long> mControlBefore;

    /**
     * What is asked before and after the run; each list may be empty.
     *
     * @param engines base addresses of engines
     * @param plainServices base addresses of plain services
     * @param metrics addresses of routers' metrics pages
     */
    record Targets(List<URI> engines, List<URI> plainServices, List<URI> metrics) {}

    /** Notes where the counts stand before the run. */
    Observed(Targets targets) {
        mTargets = targets;
        mRunsBefore = counts(targets.engines(), ENGINE);
        mPlainRunsBefore = counts(targets.plainServices(), PLAIN);
        mControlBefore = targets.metrics().stream().map(mScraper::controlBytes).toList();
    }

    /** Returns how uneven the engines' work was since; null without engines. */
    Report.Skew skew() {
        List<Double> requests = new ArrayList<>();
        List<Double> tokens = new ArrayList<>();
        for (int i = 0; i < mTargets.engines().size(); i++) {
            List<Execution> runs = since(mTargets.engines().get(i), ENGINE, mRunsBefore.get(i));
            requests.add((double) runs.size());
            tokens.add(runs.stream().mapToDouble(Observed::tokens).sum());
        }
        return requests.isEmpty()
                ? null
                : new Report.Skew(busiestOverMean(requests), busiestOverMean(tokens));
    }

    /** Returns what each router spent on control since. */
    List<Report.Control> control(double seconds) {
        List<Report.Control> all = new ArrayList<>();
        for (int i = 0; i < mTargets.metrics().size(); i++) {
            URI page = mTargets.metrics().get(i);
            controlSince(page, mControlBefore.get(i))
                    .ifPresent(b -> all.add(new Report.Control(page.toString(), b, b / seconds)));
        }
        return all;
    }

    private OptionalLong controlSince(URI page, long before) {
        try {
            return OptionalLong.of(mScraper.controlBytes(page) - before);
        } catch (LaurelweirException e) {
            mUnreachable.add(page.toString());
            return OptionalLong.empty();
        }
    }

    /** Returns the idempotency keys that were run more than once since, over all services. */
    List<String> repeatedRuns() {
        Set<String> seen = new HashSet<>();
        Set<String> repeated = new TreeSet<>();
        for (int i = 0; i < mTargets.plainServices().size(); i++) {
            URI service = mTargets.plainServices().get(i);
            since(service, PLAIN, mPlainRunsBefore.get(i)).stream()
                    .map(Execution::idempotencyKey)
                    .filter(Objects::nonNull)
                    .filter(k -> !seen.add(k))
                    .forEach(repeated::add);
        }
        return List.copyOf(repeated);
    }

    /**
     * Returns the addresses that could not be read, or not in full, after the run, so that its
     * figures lack them.
     */
    List<String> unreachable() {
        return List.copyOf(mUnreachable);
    }

    private List<Long> counts(List<URI> standins, String prefix) {
        return standins.stream().map(s -> mScraper.executions(s, prefix).started()).toList();
    }

    /**
     * Returns what a stand-in has run since; one that was restarted begins with an empty record.
     */
    private List<Execution> since(URI standin, String prefix, long before) {
        try {
            AdminEndpoints.Executions e = mScraper.executions(standin, prefix);
            long first = e.started() < before ? 0 : before;
            if (e.isCutAfter(first)) {
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
        double most = work.stream().mapToDouble(Double::doubleValue).max().orElse(0);
        return sum == 0 ? 0 : most * work.size() / sum;
    }

    private static double tokens(Execution e) {
        if (e.work() == null) {
            return 0;
        }
        return e.work().promptTokens() - e.work().cachedTokens() + e.work().outputTokens();
    }
}
