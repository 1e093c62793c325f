package org.laurelweir.settings;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Function;
import java.util.regex.Pattern;

/**
 * How the values of a setting are written. Lists are written with commas between their elements.
 *
 * @param name the type's name, for documents
 * @param allowed what a value looks like, for the reader of a fault
 * @param parser reads a value; throws IllegalArgumentException if the text has none
 * @param <T> the values
 */
public record SettingType<T>(String name, String allowed, Function<String, T> parser) {
    private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern WORD = Pattern.compile("[\\x21-\\x2b\\x2d-\\x7e]+");
    private static final Pattern PREFIX_FORM = Pattern.compile("(/[^/*\\s]+)+");
    private static final Pattern HOST_FORM = Pattern.compile("[a-z0-9._-]{1,253}");
    private static final Pattern FOLDER_FORM = Pattern.compile("/([^\\s?#]*/)?");
    private static final Pattern TOKEN = Pattern.compile("[A-Za-z0-9_-]+");

    /** A finite number. */
    public static final SettingType<Double> NUMBER =
            new SettingType<>("number", "a number", SettingType::parseNumber);

    /** A whole number. */
    public static final SettingType<Integer> COUNT =
            new SettingType<>("whole number", "a whole number", Integer::valueOf);

    /** A duration. */
    public static final SettingType<Duration> DURATION =
            new SettingType<>("duration", "a duration such as 250ms, 3s or 2m", Durations::parse);

    /** A number of bytes. */
    public static final SettingType<ByteSize> SIZE =
            new SettingType<>("size", "a size such as 64KiB", ByteSize::parse);

    /** The name of an HTTP header or of a JSON field. */
    public static final SettingType<String> TOKEN_NAME =
            new SettingType<>("name", "letters, digits, - and _", t -> require(TOKEN, t));

    /** A path pattern, or empty for none. */
    public static final SettingType<String> PATH =
            new SettingType<>("path pattern", "a path such as /orders/*", SettingType::parsePath);

    /** The beginning of paths, or empty for none. */
    public static final SettingType<String> PREFIX =
            new SettingType<>(
                    "path prefix",
                    "a path such as /orders, without a slash at its end",
                    t -> t.isEmpty() ? t : require(PREFIX_FORM, t));

    /** Names parted by commas. */
    public static final SettingType<List<String>> NAMES =
            new SettingType<>(
                    "list of names",
                    "names parted by commas",
                    t -> parseList(t, e -> require(WORD, e)));

    /** SHA-256 digests in lower-case hexadecimal. */
    public static final SettingType<List<String>> DIGESTS =
            new SettingType<>(
                    "list of digests",
                    "SHA-256 digests of 64 lower-case hexadecimal digits, parted by commas",
                    t -> parseList(t, e -> require(DIGEST, e)));

    /** The name of a host, without a port. */
    public static final SettingType<String> HOST =
            new SettingType<>(
                    "host",
                    "a host's name in lower case, without a port",
                    t -> t.isEmpty() ? t : require(HOST_FORM, t));

    /** The beginning of paths, up to and with a slash. */
    public static final SettingType<String> FOLDER =
            new SettingType<>(
                    "path prefix",
                    "a path that begins and ends with a slash, such as /orders/",
                    t -> t.isEmpty() ? t : require(FOLDER_FORM, t));

    /** Shares of requests. */
    public static final SettingType<List<RouteShare>> SHARES =
            new SettingType<>(
                    "list of shares",
                    "services with their weights, such as a:90,b:10; not all weights 0",
                    SettingType::parseShares);

    /** Yes or no. */
    public static final SettingType<Boolean> FLAG =
            new SettingType<>("flag", "yes, no", SettingType::parseFlag);

    /** Patterns of calls. */
    public static final SettingType<List<CallPattern>> CALLS =
            new SettingType<>(
                    "list of calls",
                    "calls such as POST /orders/*, parted by commas",
                    t -> parseList(t, CallPattern::parse));

    /**
     * Returns the type of one word out of a few.
     *
     * @param words the words
     */
    public static SettingType<String> oneOf(String... words) {
        List<String> list = List.of(words);
        String allowed = String.join(", ", words);
        return new SettingType<>(
                "word",
                allowed,
                t -> {
                    if (!list.contains(t)) {
                        throw new IllegalArgumentException(t);
                    }
                    return t;
                });
    }

    private static Boolean parseFlag(String text) {
        return switch (text) {
            case "yes" -> true;
            case "no" -> false;
            default -> throw new IllegalArgumentException(text);
        };
    }

    private static List<RouteShare> parseShares(String text) {
        List<RouteShare> shares = parseList(text, RouteShare::parse);
        if (!shares.isEmpty() && shares.stream().allMatch(s -> s.weight() == 0)) {
            throw new IllegalArgumentException(text);
        }
        return shares;
    }

    private static Double parseNumber(String text) {
        double d = Double.parseDouble(text);
        if (!Double.isFinite(d)) {
            throw new IllegalArgumentException(text);
        }
        return d;
    }

    private static String parsePath(String text) {
        return text.isEmpty() ? text : new PathPattern(text).text();
    }

    private static String require(Pattern pattern, String text) {
        if (!pattern.matcher(text).matches()) {
            throw new IllegalArgumentException(text);
        }
        return text;
    }

    private static <E> List<E> parseList(String text, Function<String, E> element) {
        if (text.isBlank()) {
            return List.of();
        }
        List<E> list = new ArrayList<>();
        Arrays.stream(text.split(",", -1)).map(String::strip).map(element).forEach(list::add);
        return List.copyOf(list);
    }
}
