package org.laurelweir.lib;

import java.time.Instant;
import java.util.List;

/**
 * One routing or placement decision with its inputs, as the log line and {@code explain} show it.
 *
 * @param at when it was taken
 * @param program router, sidecar or control
 * @param request the request's name
 * @param chat the chat's key, or 0
 * @param account the client account
 * @param service the service
 * @param candidates backend servers that were considered, best first
 * @param choice the chosen one, or the result code's name where none was
 * @param reason why, one of a few fixed words
 * @param load running work beside the choice as known, in token units, or requests; NaN without one
 * @param bound the load above which the choice would not have been taken; NaN without one
 * @param loadAgeMillis how long ago the choice told its load, in milliseconds; NaN where the load
 *     is the program's own or nothing was told
 */
public record Decision(
        Instant at,
        String program,
        String request,
        long chat,
        String account,
        String service,
        List<String> candidates,
        String choice,
        String reason,
        double load,
        double bound,
        double loadAgeMillis) {
    /** Creates a decision by a load that the program knows itself. */
    public Decision(
            Instant at,
            String program,
            String request,
            long chat,
            String account,
            String service,
            List<String> candidates,
            String choice,
            String reason,
            double load,
            double bound) {
        this(
                at,
                program,
                request,
                chat,
                account,
                service,
                candidates,
                choice,
                reason,
                load,
                bound,
                Double.NaN);
    }

    /** Creates a decision in which no load has a part. */
    public Decision(
            Instant at,
            String program,
            String request,
            long chat,
            String account,
            String service,
            List<String> candidates,
            String choice,
            String reason) {
        this(
                at,
                program,
                request,
                chat,
                account,
                service,
                candidates,
                choice,
                reason,
                Double.NaN,
                Double.NaN);
    }
}
