package org.laurelweir.standin;

import com.fasterxml.jackson.annotation.JsonAlias;
import java.time.Duration;
import java.time.Instant;

/**
 * A fault that a test injects into a stand-in.
 *
 * @param kind what happens to a call
 * @param count the number of calls that it applies to; 0 if only the time ends it
 * @param until when it expires; null if only the count ends it
 * @param delay the delay of a late answer
 * @param after the output tokens (engine) or body bytes (plain service) sent before a cut
 */
public record Fault(Kind kind, int count, Instant until, Duration delay, int after) {
    /** What a fault does to a call. */
    public enum Kind {
        /** The call is accepted and recorded as a run, but never answered. */
        FREEZE,
        /** The call is answered with 503 and not run. */
        REFUSE,
        /** The answer is delayed; a plain call is still run at once. */
        LATE,
        /** The connection is closed in the middle of the answer. */
        CUT,
        /** The answer has neither a length nor chunks and ends with its connection. */
        UNFRAMED,
        /** As {@link #UNFRAMED}, and the connection is closed in the middle of the answer. */
        UNFRAMED_CUT
    }

    /**
     * The JSON body that injects a fault. Without a count and a duration it applies to one call.
     *
     * @param kind the name of a {@link Kind}, in any case
     * @param count the number of calls that it applies to
     * @param durationMillis how long it lasts; a freeze with a duration holds every call to the
     *     stand-in
     * @param delayMillis the delay of a late answer
     * @param after the tokens or bytes sent before a cut
     */
    public record Order(
            String kind,
            int count,
            long durationMillis,
            long delayMillis,
            @JsonAlias({"afterTokens", "afterBytes"}) int after) {}

    /**
     * A fault in the form of the JSON answers.
     *
     * @param until when it expires, as an ISO-8601 instant; null if only the count ends it
     */
    public record Shown(Kind kind, int count, String until, long delayMillis, int after) {}

    /** Returns this fault in the form of the JSON answers. */
    public Shown toShown() {
        String end = until == null ? null : until.toString();
        return new Shown(kind, count, end, delay.toMillis(), after);
    }

    /** Returns whether this fault holds every call until it expires, rather than single calls. */
    public boolean holdsAllCalls() {
        return kind == Kind.FREEZE && until != null;
    }

    /** Returns this fault with its count reduced by one. */
    Fault afterHit() {
        return new Fault(kind, count - 1, until, delay, after);
    }

    boolean isOver(Instant now) {
        return until != null && !now.isBefore(until);
    }
}
