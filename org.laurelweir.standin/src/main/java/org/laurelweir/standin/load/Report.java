package org.laurelweir.standin.load;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * The results of a run.
 *
 * @param seed the seed of the run
 * @param seconds how long the run took
 * @param requests the counts of requests by outcome
 * @param cacheReuse the share of returning chats' prompt tokens that was cached
 * @param firstToken the time from the call to the first token, of streamed answers
 * @param wholeAnswer the time from the call to the end of the answer
 * @param skew how uneven the engines' work was; null if no engine was read
 * @param control each router's traffic with control; empty if no router was read
 * @param repeatedRuns idempotency keys that plain services ran more than once
 * @param unreachable engines, services and routers whose data is missing above
 */
public record Report(
        long seed,
        double seconds,
        Requests requests,
        double cacheReuse,
        Latency firstToken,
        Latency wholeAnswer,
        Skew skew,
        List<Control> control,
        List<String> repeatedRuns,
        List<String> unreachable) {

    /**
     * The counts of requests by outcome.
     *
     * @param planned the number of planned requests
     * @param sent the number of sent requests; fewer than planned if a chat ended early
     * @param answered the number of requests that got their own complete answer
     * @param errors the number of requests that did not, by code
     * @param refusals the number of attempts that were refused and retried, by code
     */
    public record Requests(
            int planned,
            int sent,
            int answered,
            Map<String, Integer> errors,
            Map<String, Integer> refusals) {}

    /** Percentiles of a latency, in milliseconds. */
    public record Latency(long count, double p50, double p99) {
        private static final double MICROS_PER_MILLI = 1000;
        private static final double P50 = 50;
        private static final double P99 = 99;

        static Latency of(Histogram micros) {
            return new Latency(
                    micros.getTotalCount(),
                    micros.getValueAtPercentile(P50) / MICROS_PER_MILLI,
                    micros.getValueAtPercentile(P99) / MICROS_PER_MILLI);
        }
    }

    /**
     * The work of the busiest engine divided by the mean of all engines.
     *
     * @param byRequests with work as the number of requests
     * @param byTokens with work as the number of uncached prompt tokens and output tokens
     */
    public record Skew(double byRequests, double byTokens) {}

    /** The bytes that one router exchanged with control during the run. */
    public record Control(String router, long bytes, double bytesPerSecond) {}

    /** Returns whether every request got its own complete answer and no plain call ran twice. */
    @JsonIgnore
    public boolean isWhole() {
        return requests.answered() == requests.planned() && repeatedRuns.isEmpty();
    }

    /** Returns the report as a table of names and values, a row per line. */
    public String table() {
        StringBuilder t = new StringBuilder();
        row(t, "requests planned / sent", requests.planned() + " / " + requests.sent());
        row(t, "whole own answers", requests.answered());
        row(t, "errors by code", requests.errors());
        row(t, "refused and sent again", requests.refusals());
        row(t, "plain calls run twice", repeatedRuns);
        row(t, "cache reuse", percent(cacheReuse));
        row(t, "first token p50 / p99 ms", latency(firstToken));
        row(t, "whole answer p50 / p99 ms", latency(wholeAnswer));
        if (skew != null) {
            row(t, "skew by requests", number(skew.byRequests()));
            row(t, "skew by tokens", number(skew.byTokens()));
        }
        for (Control c : control) {
            String spent = c.bytes() + " (" + number(c.bytesPerSecond()) + " a second)";
            row(t, "control bytes " + c.router(), spent);
        }
        row(t, "figures missing of", unreachable);
        row(t, "seconds", number(seconds));
        row(t, "seed", seed);
        return t.toString();
    }

    private static void row(StringBuilder table, String name, Object value) {
        table.append(String.format(Locale.ROOT, "%-28s %s%n", name, value));
    }

    private static String latency(Latency l) {
        return number(l.p50()) + " / " + number(l.p99()) + " (of " + l.count() + ")";
    }

    private static String percent(double share) {
        return String.format(Locale.ROOT, "%.1f%%", share * 100);
    }

    private static String number(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }
}
