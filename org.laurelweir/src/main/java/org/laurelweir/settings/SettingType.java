package org.laurelweir.settings;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Function;
import java.util.regex.Pattern;

/**
 * The text format of a setting's values. The elements of a list are separated by commas.
 *
 * @param name the type's name, for documentation
 * @param allowed describes the valid values, for error messages
 * @param parser parses a value; throws IllegalArgumentException if the text is invalid
 * @param <T> the type of the parsed values
 */
public record SettingType<T>(String name, String allowed, Function<String, T> parser) {
    private static final Pattern DIGEST_PATTERN = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern NAME_PATTERN = Pattern.compile("[\\x21-\\x2b\\x2d-\\x7e]+");
    private static final Pattern PREFIX_PATTERN = Pattern.compile("(/[^/*\\s]+)+");
    private static final Pattern HOST_PATTERN = Pattern.compile("[a-z0-9._-]{1,253}");
    private static final Pattern FOLDER_PATTERN = Pattern.compile("/([^\\s?#]*/)?");
    private static final Pattern TOKEN_PATTERN = Pattern.compile("[A-Za-z0-9_-]+");

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
            new SettingType<>("name", "letters, digits, - and _", t -> require(TOKEN_PATTERN, t));

    /** A {@link PathPattern}, or empty for none. */
    public static final SettingType<String> PATH =
            new SettingType<>("path pattern", "a path such as /orders/*", SettingType::parsePath);

    /** A path prefix without a slash at its end, or empty for none. */
    public static final SettingType<String> PREFIX =
            new SettingType<>(
                    "path prefix",
                    "a path such as /orders, without a slash at its end",
                    t -> t.isEmpty() ? t : require(PREFIX_PATTERN, t));

    /** Names separated by commas. */
    public static final SettingType<List<String>> NAMES =
            new SettingType<>(
                    "list of names",
                    "names parted by commas",
                    t -> parseList(t, e -> require(NAME_PATTERN, e)));

    /** SHA-256 digests in lower-case hexadecimal digits, separated by commas. */
    public static final SettingType<List<String>> DIGESTS =
            new SettingType<>(
                    "list of digests",
                    "SHA-256 digests of 64 lower-case hexadecimal digits, parted by commas",
                    t -> parseList(t, e -> require(DIGEST_PATTERN, e)));

    /** A host name without a port, or empty for none. */
    public static final SettingType<String> HOST =
            new SettingType<>(
                    "host",
                    "a host's name in lower case, without a port",
                    t -> t.isEmpty() ? t : require(HOST_PATTERN, t));

    /** A path prefix that ends with a slash, or empty for none. */
    public static final SettingType<String> FOLDER =
            new SettingType<>(
                    "path prefix",
                    "a path that begins and ends with a slash, such as /orders/",
                    t -> t.isEmpty() ? t : require(FOLDER_PATTERN, t));

    /** A route's services with their shares of the requests. */
    public static final SettingType<List<RouteShare>> SHARES =
            new SettingType<>(
                    "list of shares",
                    "services with their weights, such as a:90,b:10; not all weights 0",
                    SettingType::parseShares);

    /** A boolean, written as {@code yes} or {@code no}. */
    public static final SettingType<Boolean> FLAG =
            new SettingType<>("flag", "yes, no", SettingType::parseFlag);

    /** Call patterns, separated by commas. */
    public static final SettingType<List<CallPattern>> CALLS =
            new SettingType<>(
                    "list of calls",
                    "calls such as POST /orders/*, parted by commas",
                    t -> parseList(t, CallPattern::parse));

    /**
     * Returns a type that allows one of the given words.
     *
     * @param words the allowed words
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
