package org.laurelweir.standin;

import com.fasterxml.jackson.annotation.JsonAlias;
import java.time.Duration;
import java.time.Instant;

/**
 * A fault that a stand-in has been told to show.
 *
 * @param kind what happens
 * @param count how many calls it hits; 0 if only the duration ends it
 * @param until when it ends; null if only the count ends it
 * @param delay how late a late answer is
 * @param after the tokens (engine) or body bytes (plain service) sent before a cut
 */
public record Fault(Kind kind, int count, Instant until, Duration delay, int after) {
    /** What a fault does to a call. */
    public enum Kind {
        /** The call is accepted and recorded, then nothing is sent. */
        FREEZE,
        /** The call is answered with 503 and not run. */
        REFUSE,
        /** The answer begins late; a plain call is run at once nevertheless. */
        LATE,
        /** The connection is closed in the middle of the answer. */
        CUT
    }

    /**
     * The JSON body that asks for a fault; with neither count nor duration it hits one call.
     *
     * @param kind the name of a {@link Kind}, in any case
     * @param count how many calls it hits
     * @param durationMillis how long it lasts; a freeze of this sort holds the whole stand-in
     * @param delayMillis how late a late answer is
     * @param after the tokens or bytes sent before a cut
     */
    public record Order(
            String kind,
            int count,
            long durationMillis,
            long delayMillis,
            @JsonAlias({"afterTokens", "afterBytes"}) int after) {}

    /**
     * A fault as the JSON answers show it.
     *
     * @param until when it ends, as an ISO-8601 instant; null if only the count ends it
     */
    public record Shown(Kind kind, int count, String until, long delayMillis, int after) {}

    /** Returns this fault for a JSON answer. */
    public Shown show() {
        String end = until == null ? null : until.toString();
        return new Shown(kind, count, end, delay.toMillis(), after);
    }

    /** Returns whether this fault holds the whole stand-in rather than single calls. */
    public boolean holdsAll() {
        return kind == Kind.FREEZE && until != null;
    }

    /** Returns this fault with one call less to hit. */
    Fault hit() {
        return new Fault(kind, count - 1, until, delay, after);
    }

    boolean isOver(Instant now) {
        return until != null && !now.isBefore(until);
    }
}
