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
 * Finds the route of a request. The time for it depends on the length of the path and not on the
 * number of routes. Thread-safe.
 */
public final class RouteTable {
    private static final String ROUTED = "routed";

    /**
     * Maximum number of cached routes; the cache is cleared when it is full. Reading a route again
     * costs as much as a request.
     */
    private static final int MAX_CACHED_ROUTES = 8192;

    private final SettingsTree mTree;
    private final boolean mAllServicesRouted;

    /** Routes that were looked up, by name; may contain routes of earlier trees. */
    private final Map<String, CachedRoute> mCache;

    /** A route with the settings node that it was read from. */
    private record CachedRoute(SettingsNode node, Route route) {}

    private RouteTable(SettingsTree tree, Map<String, CachedRoute> cache) {
        mTree = tree;
        mCache = cache;
        mAllServicesRouted = tree.services().stream().allMatch(s -> isRouted(tree, s));
    }

    /** Returns a table without routes, for a router that has no settings yet. */
    public static RouteTable empty() {
        return new RouteTable(SettingsTree.EMPTY, new ConcurrentHashMap<>());
    }

    /**
     * Returns the table of a newer settings tree. Routes are read on first use and stay cached as
     * long as their nodes do not change. Otherwise the first request after a start or a change
     * would wait until some thousand routes are read.
     */
    public RouteTable withTree(SettingsTree tree) {
        return new RouteTable(tree, mCache);
    }

    /** Returns the settings tree of this table. */
    public SettingsTree tree() {
        return mTree;
    }

    private static boolean isRouted(SettingsTree tree, String service) {
        return tree.node(NodePath.ofService(service))
                .map(n -> n.values().get(SettingKeys.SERVICE_KIND.name()))
                .filter(ROUTED::equals)
                .isPresent();
    }

    /** Returns whether all services are of the kind that is reached by routes only. */
    public boolean allServicesRouted() {
        return mAllServicesRouted;
    }

    /**
     * Finds the route of a request: of the routes of its host, the one with the longest matching
     * path prefix.
     *
     * @param host the host as the caller sent it, possibly with a port
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
        CachedRoute cached = mCache.get(node.path().route());
        if (cached != null && cached.node() == node) {
            return cached.route();
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
