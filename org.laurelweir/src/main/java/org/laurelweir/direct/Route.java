package org.laurelweir.direct;

import java.time.Duration;
import java.util.List;
import org.laurelweir.settings.RouteShare;
import org.laurelweir.settings.SettingKey;
import org.laurelweir.settings.SettingKeys;
import org.laurelweir.settings.SettingsNode;

/**
 * Assigns the requests of a host and path prefix to services, and sets the rules for them.
 *
 * @param name the route's name
 * @param host the host of the requests, in lower case
 * @param prefix the path prefix of the requests; begins and ends with a slash
 * @param shares the services that receive the requests, with their weights
 * @param idempotent whether a request may run more than once
 * @param streamed whether answers are streams of server-sent events
 * @param resumable whether a stream may be resumed at another backend server
 * @param isPublic whether requests need no API key
 * @param maxAttempts maximum number of backend servers that one request is sent to
 * @param timeout maximum time for the whole answer
 * @param objective target time to the first data of an answer
 * @param maxPause target for the longest pause between events of a stream
 * @param priority requests with a higher priority go first, 0 to 9
 * @param allowedRegions the regions whose backend servers may run the requests
 */
public record Route(
        String name,
        String host,
        String prefix,
        List<RouteShare> shares,
        boolean idempotent,
        boolean streamed,
        boolean resumable,
        boolean isPublic,
        int maxAttempts,
        Duration timeout,
        Duration objective,
        Duration maxPause,
        int priority,
        AllowedRegions allowedRegions) {
    /** Creates a route whose requests may be served in every region. */
    public Route(
            String name,
            String host,
            String prefix,
            List<RouteShare> shares,
            boolean idempotent,
            boolean streamed,
            boolean resumable,
            boolean isPublic,
            int maxAttempts,
            Duration timeout,
            Duration objective,
            Duration maxPause,
            int priority) {
        this(
                name,
                host,
                prefix,
                shares,
                idempotent,
                streamed,
                resumable,
                isPublic,
                maxAttempts,
                timeout,
                objective,
                maxPause,
                priority,
                AllowedRegions.ALL);
    }

    /**
     * Returns the route that a node of the settings tree defines, with defaults for missing keys.
     */
    static Route of(SettingsNode node) {
        return new Route(
                node.path().route(),
                value(node, SettingKeys.ROUTE_HOST),
                value(node, SettingKeys.ROUTE_PATH_PREFIX),
                value(node, SettingKeys.ROUTE_SHARES),
                value(node, SettingKeys.ROUTE_IDEMPOTENT),
                value(node, SettingKeys.ROUTE_STREAMED),
                value(node, SettingKeys.ROUTE_RESUMABLE),
                value(node, SettingKeys.ROUTE_PUBLIC),
                value(node, SettingKeys.ROUTE_MAX_ATTEMPTS),
                value(node, SettingKeys.ROUTE_TIMEOUT),
                value(node, SettingKeys.ROUTE_OBJECTIVE),
                value(node, SettingKeys.ROUTE_MAX_PAUSE),
                value(node, SettingKeys.ROUTE_PRIORITY),
                AllowedRegions.of(value(node, SettingKeys.ROUTE_ALLOWED_REGIONS)));
    }

    private static <T> T value(SettingsNode node, SettingKey<T> key) {
        T value = node.value(key);
        return value == null ? key.defaultValue() : value;
    }

    /**
     * Returns whether a request may be sent to a second backend server after a first one may have
     * run it. A resumable stream then continues after the last event that was sent to the caller;
     * other requests run again from the start.
     */
    public boolean isRepeatable() {
        return streamed ? resumable : idempotent;
    }
}
