package org.laurelweir.direct;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Stream;
import org.laurelweir.lib.BackendRef;

/**
 * Records which backend servers hold shared parts of prompts, as far as this router's own requests
 * show it. An engine can fetch a part from another engine within milliseconds; reading a long part
 * again delays all its other requests by some hundred milliseconds.
 *
 * <p>The record may be out of date: engines evict the least recently used parts without notice. If
 * a part has been evicted, the fetch fails and the engine reads the part as without a fetch.
 */
final class PartHolders {
    /**
     * Maximum number of recorded parts; the least recently used ones are evicted. At about 200
     * bytes each they take less than 1 MB. The engines behind a router hold fewer long parts.
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
     * The last two backend servers that ran requests with a part.
     *
     * @param latest the server of the latest request, or null if there is none
     * @param previous another server, of an earlier request, or null if there is none
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

        /** Returns the recorded servers, the latest one first. */
        List<BackendRef> servers() {
            return Stream.of(latest, previous).filter(Objects::nonNull).toList();
        }
    }

    /** Records that a backend server began to answer a prompt with a part, and so has read it. */
    void recordHolder(long part, BackendRef backend) {
        mByPart.merge(part, new Holders(backend, null), (known, n) -> known.with(backend));
    }

    /** Returns the backend servers that are recorded as holders of a part. */
    Holders of(long part) {
        return mByPart.getOrDefault(part, Holders.NONE);
    }
}
