package org.laurelweir.settings;

import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Durations as settings write them: a whole number and a unit, such as {@code 250ms}. */
public final class Durations {
    private static final Pattern FORM = Pattern.compile("(\\d{1,12})(ms|s|m|h|d)");
    private static final String[] UNITS = {"d", "h", "m", "s", "ms"};
    private static final long[] UNIT_MILLIS = {86_400_000, 3_600_000, 60_000, 1_000, 1};

    private Durations() {}

    /**
     * Reads a duration.
     *
     * @param text a whole number followed by ms, s, m, h or d
     * @return the duration
     * @throws IllegalArgumentException if the text has another form
     */
    public static Duration parse(String text) {
        Matcher m = FORM.matcher(text);
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
     * Writes a duration in the largest unit that leaves a whole number.
     *
     * @param duration not negative; what lies below a millisecond is cut off
     * @return a text that {@link #parse} reads
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
