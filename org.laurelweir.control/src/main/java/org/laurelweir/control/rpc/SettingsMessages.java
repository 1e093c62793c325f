package org.laurelweir.control.rpc;

import java.util.LinkedHashMap;
import java.util.Map;
import org.laurelweir.settings.SettingsDelta;
import org.laurelweir.wire.SettingsCodec;
import org.laurelweir.wire.v1.ExchangeRequest;

/**
 * Encodes the settings that routers lack, once for all routers that lack the same settings. When
 * all instances start at once, each router asks for the whole tree at the same time, and after a
 * change each asks for the same nodes. Encoding the answer for each router separately would
 * multiply the processor time and the memory on an instance that has just started.
 *
 * <p>Large messages are packed for readers that support it. Otherwise a full tree of some thousand
 * nodes would occupy the link of a small machine for most of the time that a router waits for an
 * answer, and a router that times out starts over at the next instance. Thread-safe.
 */
final class SettingsMessages {
    /**
     * Maximum number of cached messages. Only the newest positions are requested by more than one
     * reader.
     */
    private static final int MAX_CACHED = 4;

    /** Messages with at least this many nodes are packed, which is a few kilobytes. */
    private static final int MIN_PACKED_NODES = 16;

    /**
     * The cache key: readers with equal keys get the same message.
     *
     * @param from the reader's position, 0 for a full tree
     */
    private record Key(long from, long to, boolean packed) {}

    private final Map<Key, org.laurelweir.wire.v1.SettingsDelta> mCache =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(
                        Map.Entry<Key, org.laurelweir.wire.v1.SettingsDelta> eldest) {
                    return size() > MAX_CACHED;
                }
            };

    /**
     * Returns the message with the settings that a reader lacks.
     *
     * @param delta the settings that the reader lacks
     * @param request the reader's request; the message is cached only for a request of a router,
     *     since other readers do not receive all nodes
     */
    org.laurelweir.wire.v1.SettingsDelta messageFor(SettingsDelta delta, ExchangeRequest request) {
        boolean packed = request.getReadsPackedNodes() && delta.nodes().size() >= MIN_PACKED_NODES;
        if (!request.hasRouter() || delta.isEmpty()) {
            return encode(delta, packed);
        }
        long from = delta.full() ? 0 : request.getSettingsPosition();
        return cached(new Key(from, delta.position(), packed), delta);
    }

    private synchronized org.laurelweir.wire.v1.SettingsDelta cached(Key key, SettingsDelta delta) {
        return mCache.computeIfAbsent(key, k -> encode(delta, k.packed()));
    }

    private static org.laurelweir.wire.v1.SettingsDelta encode(
            SettingsDelta delta, boolean packed) {
        return packed ? SettingsCodec.toPacked(delta) : SettingsCodec.toWire(delta);
    }
}
