package org.laurelweir.settings;

import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A number of bytes, written in settings as a whole number and a unit, such as {@code 64KiB}.
 *
 * @param bytes the number of bytes; not negative
 */
public record ByteSize(long bytes) implements Comparable<ByteSize> {
    private static final Pattern PATTERN = Pattern.compile("(\\d{1,18})(B|KiB|MiB|GiB|TiB)");
    private static final String[] UNITS = {"B", "KiB", "MiB", "GiB", "TiB"};
    private static final int BITS_PER_STEP = 10;

    /** Rejects a negative number. */
    public ByteSize {
        if (bytes < 0) {
            throw new IllegalArgumentException("negative size: " + bytes);
        }
    }

    /**
     * Parses a size.
     *
     * @param text a whole number followed by B, KiB, MiB, GiB or TiB
     * @return the size
     * @throws IllegalArgumentException if the text is malformed or the size exceeds a long
     */
    public static ByteSize parse(String text) {
        Matcher m = PATTERN.matcher(text);
        if (!m.matches()) {
            throw new IllegalArgumentException("not a size: " + text);
        }
        long count = Long.parseLong(m.group(1));
        int shift = shiftOf(m.group(2));
        if (count > Long.MAX_VALUE >> shift) {
            throw new IllegalArgumentException("size too large: " + text);
        }
        return new ByteSize(count << shift);
    }

    private static int shiftOf(String unit) {
        for (int i = 0; i < UNITS.length; i++) {
            if (UNITS[i].equals(unit)) {
                return i * BITS_PER_STEP;
            }
        }
        throw new IllegalArgumentException("not a unit: " + unit);
    }

    @Override
    public int compareTo(ByteSize other) {
        return Long.compare(bytes, other.bytes);
    }

    /**
     * Returns the size in the largest unit that gives a whole number; {@link #parse} accepts it.
     */
    @Override
    public String toString() {
        int step = 0;
        long count = bytes;
        while (step < UNITS.length - 1 && count != 0 && count % (1 << BITS_PER_STEP) == 0) {
            count >>= BITS_PER_STEP;
            step++;
        }
        return String.format(Locale.ROOT, "%d%s", count, UNITS[step]);
    }
}
