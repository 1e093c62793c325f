package org.laurelweir.direct;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.laurelweir.settings.NodePath;
import org.laurelweir.settings.SettingKeys;
import org.laurelweir.settings.SettingsNode;
import org.laurelweir.settings.SettingsTree;

/**
 * Finds the route of a request in time that depends on the path's length and not on the number of
 * routes. Immutable.
 */
public final class RouteTable {
    /** The table of a router that has no settings. */
    public static final RouteTable EMPTY = new RouteTable(SettingsTree.EMPTY);

    private static final String ROUTED = "routed";

    private final Map<String, Map<String, Route>> mByHost = new HashMap<>();
    private final boolean mOnlyRoutes;

    private RouteTable(SettingsTree tree) {
        for (SettingsNode node : tree.routes()) {
            Route route = Route.of(node);
            mByHost.computeIfAbsent(route.host(), h -> new HashMap<>()).put(route.prefix(), route);
        }
        mOnlyRoutes = tree.services().stream().allMatch(s -> isRouted(tree, s));
    }

    /** Returns the table of a tree; costs a walk over the tree. */
    public static RouteTable of(SettingsTree tree) {
        return new RouteTable(tree);
    }

    private static boolean isRouted(SettingsTree tree, String service) {
        return tree.node(NodePath.ofService(service))
                .map(n -> n.values().get(SettingKeys.SERVICE_KIND.name()))
                .filter(ROUTED::equals)
                .isPresent();
    }

    /** Returns whether routes are the only way to any service. */
    public boolean isOnlyRoutes() {
        return mOnlyRoutes;
    }

    /**
     * Finds the route of a request: among those of its host, the one with the longest prefix that
     * begins the path.
     *
     * @param host the host as the caller wrote it, perhaps with a port
     * @param path the path without its query
     */
    public Optional<Route> find(String host, String path) {
        Map<String, Route> byPrefix = mByHost.get(withoutPort(host).toLowerCase(Locale.ROOT));
        if (byPrefix == null) {
            return Optional.empty();
        }
        for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
            Route route = byPrefix.get(path.substring(0, end + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static String withoutPort(String host) {
        int colon = host.lastIndexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }
}
