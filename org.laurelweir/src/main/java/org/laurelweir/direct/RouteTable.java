package org.laurelweir.direct;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.laurelweir.settings.NodePath;
import org.laurelweir.settings.SettingKeys;
import org.laurelweir.settings.SettingsNode;
import org.laurelweir.settings.SettingsTree;

/**
 * Finds the route of a request in time that depends on the path's length and not on the number of
 * routes. Thread-safe.
 */
public final class RouteTable {
    private static final String ROUTED = "routed";

    /** Routes that are kept read; more are read anew, which costs as much as a request. */
    private static final int MAX_CACHED_ROUTES = 8192;

    private final SettingsTree mTree;
    private final boolean mAllServicesRouted;

    /** Routes that were asked for, by name, those of earlier trees among them. */
    private final Map<String, CachedRoute> mCache;

    /** A route as a node defines it. */
    private record CachedRoute(SettingsNode node, Route route) {}

    private RouteTable(SettingsTree tree, Map<String, CachedRoute> read) {
        mTree = tree;
        mCache = read;
        mAllServicesRouted = tree.services().stream().allMatch(s -> isRouted(tree, s));
    }

    /** Returns the table of a router that has no settings. */
    public static RouteTable empty() {
        return new RouteTable(SettingsTree.EMPTY, new ConcurrentHashMap<>());
    }

    /**
     * Returns the table of a later tree. Routes are read when they are first asked for, and kept
     * while their nodes stay: the first request after a start, or after a change, would otherwise
     * wait until all of some thousand routes are read.
     */
    public RouteTable withTree(SettingsTree tree) {
        return new RouteTable(tree, mCache);
    }

    /** Returns the tree whose routes these are. */
    public SettingsTree tree() {
        return mTree;
    }

    private static boolean isRouted(SettingsTree tree, String service) {
        return tree.node(NodePath.ofService(service))
                .map(n -> n.values().get(SettingKeys.SERVICE_KIND.name()))
                .filter(ROUTED::equals)
                .isPresent();
    }

    /** Returns whether routes are the only way to any service. */
    public boolean allServicesRouted() {
        return mAllServicesRouted;
    }

    /**
     * Finds the route of a request: among those of its host, the one with the longest prefix that
     * begins the path.
     *
     * @param host the host as the caller wrote it, perhaps with a port
     * @param path the path without its query
     */
    public Optional<Route> find(String host, String path) {
        String name = withoutPort(host).toLowerCase(Locale.ROOT);
        for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
            Optional<SettingsNode> node = mTree.routeAt(name, path.substring(0, end + 1));
            if (node.isPresent()) {
                return node.map(this::toRoute);
            }
        }
        return Optional.empty();
    }

    private Route toRoute(SettingsNode node) {
        CachedRoute known = mCache.get(node.path().route());
        if (known != null && known.node() == node) {
            return known.route();
        }
        if (mCache.size() >= MAX_CACHED_ROUTES) {
            mCache.clear();
        }
        Route route = Route.of(node);
        mCache.put(node.path().route(), new CachedRoute(node, route));
        return route;
    }

    private static String withoutPort(String host) {
        int colon = host.lastIndexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }
}
