package org.laurelweir.direct;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Stream;
import org.laurelweir.lib.BackendRef;

/**
 * Which backend servers hold shared parts of prompts, as this router's own requests tell. A part
 * that another engine holds can be fetched from it within milliseconds; read anew, a long one
 * delays everything that runs beside it by some hundred.
 *
 * <p>What is noted may be out of date: engines drop what was used least lately and tell nobody. A
 * fetch from one that has dropped a part brings nothing, and the part is read as it would have
 * been.
 */
final class PartHolders {
    /**
     * Parts that are remembered, the ones used last; at about 200 bytes each, under 1 MB. More than
     * the engines behind a router hold of long parts.
     */
    private static final int MAX_PARTS = 4096;

    private final Map<Long, Holders> mByPart =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Holders> eldest) {
                    return size() > MAX_PARTS;
                }
            };

    /**
     * Those that ran requests with a part.
     *
     * @param last the one that did so last
     * @param before another one that did so before, or null
     */
    record Holders(BackendRef latest, BackendRef previous) {
        static final Holders NONE = new Holders(null, null);

        Holders with(BackendRef backend) {
            if (backend.equals(latest)) {
                return this;
            }
            return new Holders(backend, latest);
        }

        boolean contains(BackendRef backend) {
            return servers().contains(backend);
        }

        /** Returns them, the last one first. */
        List<BackendRef> servers() {
            return Stream.of(latest, previous).filter(Objects::nonNull).toList();
        }
    }

    /** Notes that a backend server has begun to answer a prompt with a part, and so has read it. */
    void recordHolder(long part, BackendRef backend) {
        mByPart.merge(part, new Holders(backend, null), (known, n) -> known.with(backend));
    }

    /** Returns who is known to hold a part. */
    Holders of(long part) {
        return mByPart.getOrDefault(part, Holders.NONE);
    }
}
