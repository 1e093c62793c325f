package org.laurelweir.control.rpc;

import java.util.LinkedHashMap;
import java.util.Map;
import org.laurelweir.settings.SettingsDelta;
import org.laurelweir.wire.SettingsCodec;
import org.laurelweir.wire.v1.ExchangeRequest;

/**
 * Makes the messages that tell routers what they lack of the settings, one for all that lack the
 * same. After a start of everything each router asks for the whole tree at the same moment, and
 * after a change each asks for the same nodes: encoded for each of them, the answers would take the
 * processor of an instance that has just started, and its memory, many times over.
 *
 * <p>Large messages are packed for readers that can read them. A whole tree of some thousand nodes
 * would otherwise take the link of a small machine for much of the time that a router waits for an
 * answer, and a router that gives up begins anew at the next instance. Thread-safe.
 */
final class SettingsMessages {
    /** Messages that are kept; only the newest positions are asked for by more than one reader. */
    private static final int KEPT = 4;

    /** Nodes of a message from which on it is packed: a few kilobytes. */
    private static final int LEAST_PACKED_NODES = 16;

    /**
     * What makes two readers' messages the same.
     *
     * @param from the reader's position, 0 for a whole tree
     */
    private record Key(long from, long to, boolean packed) {}

    private final Map<Key, org.laurelweir.wire.v1.SettingsDelta> mKept =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(
                        Map.Entry<Key, org.laurelweir.wire.v1.SettingsDelta> eldest) {
                    return size() > KEPT;
                }
            };

    /**
     * Returns the message of what a reader lacks.
     *
     * @param delta what it lacks
     * @param request its question; its answer is kept for others only where a router asks, since
     *     others are not told all nodes
     */
    org.laurelweir.wire.v1.SettingsDelta of(SettingsDelta delta, ExchangeRequest request) {
        boolean packed =
                request.getReadsPackedNodes() && delta.nodes().size() >= LEAST_PACKED_NODES;
        if (!request.hasRouter() || delta.isEmpty()) {
            return make(delta, packed);
        }
        long from = delta.full() ? 0 : request.getSettingsPosition();
        return kept(new Key(from, delta.position(), packed), delta);
    }

    private synchronized org.laurelweir.wire.v1.SettingsDelta kept(Key key, SettingsDelta delta) {
        return mKept.computeIfAbsent(key, k -> make(delta, k.packed()));
    }

    private static org.laurelweir.wire.v1.SettingsDelta make(SettingsDelta delta, boolean packed) {
        return packed ? SettingsCodec.toPacked(delta) : SettingsCodec.toWire(delta);
    }
}
