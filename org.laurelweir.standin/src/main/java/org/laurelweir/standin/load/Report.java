package org.laurelweir.standin.load;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * What a run came to.
 *
 * @param seed the seed of the run
 * @param seconds how long the run took
 * @param requests what became of the requests
 * @param cacheReuse the share of returning chats' prompt tokens that was cached
 * @param firstToken from the call to the first token, of streamed answers
 * @param wholeAnswer from the call to the end of the answer
 * @param skew how uneven the engines' work was; null if no engine was asked
 * @param control what each router spent on control; empty if no router was asked
 * @param repeatedRuns idempotency keys that plain services ran more than once
 * @param unreachable engines, services and routers whose figures are missing above
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
     * What became of the requests.
     *
     * @param planned how many there were to be
     * @param sent how many were sent; fewer than planned if a chat ended early
     * @param answered how many got their whole own answer
     * @param errors how many did not, by code
     * @param refusals attempts that were refused and made again, by code
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
     * The busiest engine over the mean of all.
     *
     * @param byRequests counting requests
     * @param byTokens counting prompt tokens that were not cached and output tokens
     */
    public record Skew(double byRequests, double byTokens) {}

    /** What one router spent on control over the run. */
    public record Control(String router, long bytes, double bytesPerSecond) {}

    /** Returns whether every request got its whole own answer and none was run twice. */
    @JsonIgnore
    public boolean isWhole() {
        return requests.answered() == requests.planned() && repeatedRuns.isEmpty();
    }

    /** Returns the report as a table for a reader. */
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
