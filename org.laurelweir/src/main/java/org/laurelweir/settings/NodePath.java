package org.laurelweir.settings;

import java.util.Objects;

/**
 * The path of a node in the settings tree. It names any subset of the levels, the most general
 * first, such as {@code /region=vestkyst/service=seilhjerne}; {@code /} is the deployment. A level
 * that the path does not name is null. No other node inherits from a route.
 *
 * @param region the region's name
 * @param dataCentre the data centre's name
 * @param service the service's name
 * @param account the client account's name
 * @param rule the rule's name
 * @param route the route's name
 */
public record NodePath(
        String region, String dataCentre, String service, String account, String rule, String route)
        implements Comparable<NodePath> {
    /** The deployment, from which every other node inherits. */
    public static final NodePath DEPLOYMENT = new NodePath(null, null, null, null, null, null);

    /** Describes the format of a path, for error messages. */
    static final String FORM =
            "/ or LEVEL=NAME parts in the order region, data-centre, service, account,"
                    + "rule, route, each after a slash, such as"
                    + " /region=vestkyst/service=seilhjerne;"
                    + " a name has up to 128 letters, digits and . _ : @ -";

    private static final int MAX_NAME_CHARS = 128;

    /** The characters besides letters and digits that a name may have after its first character. */
    private static final String NAME_PUNCTUATION = "._:@-";

    /** Rejects malformed names. */
    public NodePath {
        check(region);
        check(dataCentre);
        check(service);
        check(account);
        check(rule);
        check(route);
    }

    /** Creates the path of a node that is not a route. */
    public NodePath(String region, String dataCentre, String service, String account, String rule) {
        this(region, dataCentre, service, account, rule, null);
    }

    private static void check(String name) {
        if (name != null && !isName(name)) {
            throw new IllegalArgumentException("not a name: " + name);
        }
    }

    private static boolean isName(String text) {
        if (text.isEmpty() || text.length() > MAX_NAME_CHARS || !isLetterOrDigit(text.charAt(0))) {
            return false;
        }
        for (int i = 1; i < text.length(); i++) {
            char c = text.charAt(i);
            if (!isLetterOrDigit(c) && NAME_PUNCTUATION.indexOf(c) < 0) {
                return false;
            }
        }
        return true;
    }

    private static boolean isLetterOrDigit(char c) {
        return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9';
    }

    /** Returns the path of the node that defines a service. */
    public static NodePath ofService(String service) {
        return new NodePath(null, null, service, null, null);
    }

    /** Returns the path of the node that defines a client account. */
    public static NodePath ofAccount(String account) {
        return new NodePath(null, null, null, account, null);
    }

    /** Returns the path of the node that defines a route. */
    public static NodePath ofRoute(String route) {
        return new NodePath(null, null, null, null, null, route);
    }

    /**
     * Parses a path.
     *
     * @param text a path in the format of {@link #toString}
     * @return the path
     * @throws IllegalArgumentException if the text is malformed
     */
    public static NodePath parse(String text) {
        if (text.equals("/")) {
            return DEPLOYMENT;
        }
        if (!text.startsWith("/")) {
            throw new IllegalArgumentException("not a path: " + text);
        }
        String[] names = new String[Level.ALL.size()];
        int last = Level.DEPLOYMENT.ordinal();
        for (String part : text.substring(1).split("/", -1)) {
            int equals = part.indexOf('=');
            int level = equals < 0 ? 0 : ordinalOf(part.substring(0, equals));
            if (level <= last) {
                throw new IllegalArgumentException("not a path: " + text);
            }
            names[level] = part.substring(equals + 1);
            last = level;
        }
        return new NodePath(names[1], names[2], names[3], names[4], names[5], names[6]);
    }

    private static int ordinalOf(String word) {
        for (Level l : Level.ALL) {
            if (l.word().equals(word)) {
                return l.ordinal();
            }
        }
        return 0;
    }

    /**
     * Returns the name at a level.
     *
     * @param level any level
     * @return the name, or null if the path does not name the level
     */
    public String name(Level level) {
        return switch (level) {
            case DEPLOYMENT -> null;
            case REGION -> region;
            case DATA_CENTRE -> dataCentre;
            case SERVICE -> service;
            case ACCOUNT -> account;
            case RULE -> rule;
            case ROUTE -> route;
        };
    }

    /** Returns the most specific level that the path names. */
    public Level level() {
        for (int i = Level.ALL.size() - 1; i > 0; i--) {
            Level level = Level.ALL.get(i);
            if (name(level) != null) {
                return level;
            }
        }
        return Level.DEPLOYMENT;
    }

    /** Returns whether the path names this level and no other. */
    public boolean isOnly(Level level) {
        return level() == level && specificity() == level.bit();
    }

    /**
     * Returns a number that is greater for the more specific of two nodes that apply to the same
     * request. The most specific level that only one of them names decides.
     */
    int specificity() {
        int bits = 0;
        for (Level l : Level.ALL) {
            if (name(l) != null) {
                bits |= l.bit();
            }
        }
        return bits;
    }

    /** Returns the path without its rule. */
    public NodePath withoutRule() {
        return new NodePath(region, dataCentre, service, account, null);
    }

    // equals and hashCode are written by hand: the virtual machine generates a record's methods at
    // their first use, which delays the time at which a starting control instance can vote.
    @Override
    public boolean equals(Object other) {
        return other instanceof NodePath p
                && Objects.equals(region, p.region)
                && Objects.equals(dataCentre, p.dataCentre)
                && Objects.equals(service, p.service)
                && Objects.equals(account, p.account)
                && Objects.equals(rule, p.rule)
                && Objects.equals(route, p.route);
    }

    @Override
    public int hashCode() {
        return Objects.hash(region, dataCentre, service, account, rule, route);
    }

    @Override
    public int compareTo(NodePath other) {
        return toString().compareTo(other.toString());
    }

    /** Returns the path in the format that {@link #parse} accepts. */
    @Override
    public String toString() {
        StringBuilder s = new StringBuilder();
        for (Level l : Level.ALL) {
            String name = name(l);
            if (name != null) {
                s.append('/').append(l.word()).append('=').append(name);
            }
        }
        return s.length() == 0 ? "/" : s.toString();
    }
}
