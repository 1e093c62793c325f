package org.laurelweir.direct;

import java.time.Duration;
import java.time.Instant;
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

    /**
     * How long an engine is expected to keep a part that it has read. An engine at full load reads
     * as many tokens as its memory holds in some 15 seconds, about half of them cached.
     */
    static final Duration KEPT_TIME = Duration.ofSeconds(20);

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
     * @param latestTime time of the latest request
     * @param previousTime time of the last request of the other server
     */
    record Holders(
            BackendRef latest, BackendRef previous, Instant latestTime, Instant previousTime) {
        static final Holders NONE = new Holders(null, null, Instant.MIN, Instant.MIN);

        Holders with(BackendRef backend, Instant now) {
            if (backend.equals(latest)) {
                return new Holders(latest, previous, now, previousTime);
            }
            return new Holders(backend, latest, now, latestTime);
        }

        /** Returns the time of the last request at a server, or {@code Instant.MIN}. */
        private Instant lastTime(BackendRef backend) {
            if (backend.equals(latest)) {
                return latestTime;
            }
            return backend.equals(previous) ? previousTime : Instant.MIN;
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
    void recordHolder(long part, BackendRef backend, Instant now) {
        mByPart.merge(
                part, Holders.NONE.with(backend, now), (known, first) -> known.with(backend, now));
    }

    /** Returns whether a backend server read a part so lately that it likely still has it. */
    boolean likelyHolds(long part, BackendRef backend, Instant now) {
        Instant last = of(part).lastTime(backend);
        return !last.equals(Instant.MIN) && now.isBefore(last.plus(KEPT_TIME));
    }

    /** Returns the backend servers that are recorded as holders of a part. */
    Holders of(long part) {
        return mByPart.getOrDefault(part, Holders.NONE);
    }
}
