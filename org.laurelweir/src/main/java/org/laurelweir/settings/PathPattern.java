package org.laurelweir.settings;

/**
 * A pattern of URL paths. A segment {@code *} matches any single segment; at the end of the pattern
 * it matches one or more segments.
 *
 * @param text the pattern, which begins with a slash
 */
public record PathPattern(String text) {
    private static final String WILDCARD = "*";

    /** Rejects a pattern that does not begin with a slash or that contains a space. */
    public PathPattern {
        if (!text.startsWith("/") || text.indexOf(' ') >= 0) {
            throw new IllegalArgumentException("not a path pattern: " + text);
        }
    }

    /** Returns whether a path matches. */
    public boolean matches(String path) {
        String[] patternSegments = text.split("/", -1);
        String[] pathSegments = path.split("/", -1);
        int last = patternSegments.length - 1;
        boolean isOpenEnded = patternSegments[last].equals(WILDCARD);
        if (isOpenEnded
                ? pathSegments.length < patternSegments.length
                : pathSegments.length != patternSegments.length) {
            return false;
        }
        for (int i = 0; i < (isOpenEnded ? last : patternSegments.length); i++) {
            if (!patternSegments[i].equals(WILDCARD)
                    && !patternSegments[i].equals(pathSegments[i])) {
                return false;
            }
        }
        return true;
    }

    @Override
    public String toString() {
        return text;
    }
}
