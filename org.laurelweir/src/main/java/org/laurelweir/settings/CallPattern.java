package org.laurelweir.settings;

import java.util.regex.Pattern;

/**
 * Matches calls by method and path, such as {@code POST /orders/*}.
 *
 * @param method an HTTP method in capital letters, or {@code *} for any
 * @param path the pattern of the paths
 */
public record CallPattern(String method, PathPattern path) {
    private static final Pattern METHOD = Pattern.compile("[A-Z]+|\\*");

    /**
     * Parses a pattern.
     *
     * @param text the method and the path pattern, separated by a space
     * @return the pattern
     * @throws IllegalArgumentException if the text is malformed
     */
    public static CallPattern parse(String text) {
        int space = text.indexOf(' ');
        if (space < 0 || !METHOD.matcher(text.substring(0, space)).matches()) {
            throw new IllegalArgumentException(
                    "not a call pattern of the form METHOD /path: " + text);
        }
        PathPattern path = new PathPattern(text.substring(space + 1).strip());
        return new CallPattern(text.substring(0, space), path);
    }

    /** Returns whether a call matches. */
    public boolean matches(String calledMethod, String calledPath) {
        return (method.equals("*") || method.equals(calledMethod)) && path.matches(calledPath);
    }

    @Override
    public String toString() {
        return method + " " + path;
    }
}
