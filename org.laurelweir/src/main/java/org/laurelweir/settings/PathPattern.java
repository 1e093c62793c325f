package org.laurelweir.settings;

/**
 * Matches URL paths. A {@code *} at the end stands for any rest, elsewhere for one segment.
 *
 * @param text the pattern, beginning with a slash
 */
public record PathPattern(String text) {
    private static final String ANY = "*";

    /** Refuses a pattern that does not begin with a slash. */
    public PathPattern {
        if (!text.startsWith("/") || text.indexOf(' ') >= 0) {
            throw new IllegalArgumentException("not a path pattern: " + text);
        }
    }

    /** Returns whether a path matches. */
    public boolean matches(String path) {
        String[] wanted = text.split("/", -1);
        String[] given = path.split("/", -1);
        int last = wanted.length - 1;
        boolean open = wanted[last].equals(ANY);
        if (open ? given.length < wanted.length : given.length != wanted.length) {
            return false;
        }
        for (int i = 0; i < (open ? last : wanted.length); i++) {
            if (!wanted[i].equals(ANY) && !wanted[i].equals(given[i])) {
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
