package org.laurelweir.settings;

import java.util.regex.Pattern;

/**
 * Matches calls by method and path, written {@code POST /orders/*}; the method may be {@code *}.
 *
 * @param method an HTTP method in capitals, or {@code *} for any
 * @param path the paths
 */
public record CallPattern(String method, PathPattern path) {
    private static final Pattern METHOD = Pattern.compile("[A-Z]+|\\*");

    /**
     * Reads a pattern.
     *
     * @param text method and path, parted by a space
     * @return the pattern
     * @throws IllegalArgumentException if the text has another form
     */
    public static CallPattern parse(String text) {
        int space = text.indexOf(' ');
        if (space < 0 || !METHOD.matcher(text.substring(0, space)).matches()) {
            throw new IllegalArgumentException("not METHOD /path: " + text);
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
