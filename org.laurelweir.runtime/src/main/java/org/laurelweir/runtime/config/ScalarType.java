package org.laurelweir.runtime.config;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.laurelweir.settings.ByteSize;
import org.laurelweir.settings.Durations;

/**
 * A type whose values are written as YAML scalars.
 *
 * @param allowed description of the allowed values, for fault messages
 * @param parser parses a value; throws IllegalArgumentException if the text is not a value of the
 *     type
 */
record ScalarType(String allowed, Function<String, Object> parser) {
    private static final Map<Class<?>, ScalarType> TYPES =
            Map.of(
                    String.class,
                    new ScalarType("a text", s -> s),
                    int.class,
                    new ScalarType("a whole number", Integer::valueOf),
                    long.class,
                    new ScalarType("a whole number", Long::valueOf),
                    double.class,
                    new ScalarType("a number", ScalarType::parseDouble),
                    boolean.class,
                    new ScalarType("true or false", ScalarType::parseBoolean),
                    Duration.class,
                    new ScalarType("a duration such as 250ms, 3s or 2m", Durations::parse),
                    ByteSize.class,
                    new ScalarType("a size such as 64KiB", ByteSize::parse),
                    Endpoint.class,
                    new ScalarType("host:port", Endpoint::parse),
                    Path.class,
                    new ScalarType("a path", Path::of));

    /** Returns the scalar type for a Java type, or empty if the Java type is not scalar. */
    static Optional<ScalarType> of(Class<?> type) {
        if (type.isEnum()) {
            return Optional.of(ofEnum(type.getEnumConstants()));
        }
        return Optional.ofNullable(TYPES.get(type));
    }

    private static ScalarType ofEnum(Object[] constants) {
        String allowed =
                Arrays.stream(constants)
                        .map(ScalarType::enumText)
                        .collect(Collectors.joining(", "));
        return new ScalarType(
                allowed,
                s ->
                        Arrays.stream(constants)
                                .filter(c -> enumText(c).equals(s))
                                .findFirst()
                                .orElseThrow(() -> new IllegalArgumentException(s)));
    }

    private static String enumText(Object constant) {
        return ((Enum<?>) constant).name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static Double parseDouble(String text) {
        double d = Double.parseDouble(text);
        if (!Double.isFinite(d)) {
            throw new IllegalArgumentException(text);
        }
        return d;
    }

    private static Boolean parseBoolean(String text) {
        return switch (text) {
            case "true" -> true;
            case "false" -> false;
            default -> throw new IllegalArgumentException(text);
        };
    }
}
