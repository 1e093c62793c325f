package org.laurelweir.settings;

import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses and formats durations: a whole number and a unit, such as {@code 250ms}. */
public final class Durations {
    private static final Pattern PATTERN = Pattern.compile("(\\d{1,12})(ms|s|m|h|d)");
    private static final String[] UNITS = {"d", "h", "m", "s", "ms"};
    private static final long[] UNIT_MILLIS = {86_400_000, 3_600_000, 60_000, 1_000, 1};

    private Durations() {}

    /**
     * Parses a duration.
     *
     * @param text a whole number followed by ms, s, m, h or d
     * @return the duration
     * @throws IllegalArgumentException if the text is malformed
     */
    public static Duration parse(String text) {
        Matcher m = PATTERN.matcher(text);
        if (!m.matches()) {
            throw new IllegalArgumentException("not a duration: " + text);
        }
        return Duration.of(Long.parseLong(m.group(1)), unitOf(m.group(2)));
    }

    private static ChronoUnit unitOf(String unit) {
        return switch (unit) {
            case "ms" -> ChronoUnit.MILLIS;
            case "s" -> ChronoUnit.SECONDS;
            case "m" -> ChronoUnit.MINUTES;
            case "h" -> ChronoUnit.HOURS;
            default -> ChronoUnit.DAYS;
        };
    }

    /**
     * Formats a duration in the largest unit that gives a whole number.
     *
     * @param duration a duration that is not negative; it is rounded down to milliseconds
     * @return a text that {@link #parse} accepts
     */
    public static String format(Duration duration) {
        long millis = duration.toMillis();
        if (millis == 0) {
            return "0s";
        }
        int i = 0;
        while (millis % UNIT_MILLIS[i] != 0) {
            i++;
        }
        return millis / UNIT_MILLIS[i] + UNITS[i];
    }
}
