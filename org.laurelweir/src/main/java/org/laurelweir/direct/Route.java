package org.laurelweir.direct;

import java.time.Duration;
import java.util.List;
import org.laurelweir.settings.RouteShare;
import org.laurelweir.settings.SettingKey;
import org.laurelweir.settings.SettingKeys;
import org.laurelweir.settings.SettingsNode;

/**
 * Which requests go to which services, and under which rules.
 *
 * @param name the route's name
 * @param host the host whose requests it takes, in lower case
 * @param prefix the beginning of their paths; begins and ends with a slash
 * @param shares the services that get the requests
 * @param idempotent whether a request may run more than once
 * @param streamed whether answers are streams of events
 * @param resumable whether a stream may go on at another backend server
 * @param isPublic whether requests need no key
 * @param maxAttempts most backend servers that one request is sent to
 * @param timeout longest time for the whole answer
 * @param objective time to the first piece of an answer that counts as prompt
 * @param maxPause longest pause between events of a prompt stream
 * @param priority higher goes first, 0 to 9
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
        int priority) {
    /** Returns the route that a node of the settings tree defines. */
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
                value(node, SettingKeys.ROUTE_PRIORITY));
    }

    private static <T> T value(SettingsNode node, SettingKey<T> key) {
        T value = node.value(key);
        return value == null ? key.defaultValue() : value;
    }

    /**
     * Returns whether a request may reach a second backend server after a first one may have run
     * it: as a whole, or from the event on at which a resumable stream stopped.
     */
    public boolean isRepeatable() {
        return streamed ? resumable : idempotent;
    }
}
