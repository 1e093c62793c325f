package org.laurelweir.quarantine;

import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Remembers when each part of prompts was last served. A router may hear of a crash at another
 * router's server after it has served the same part; what it remembers excuses that crash.
 */
final class ServedParts {
    /** Maximum number of remembered parts, the latest served ones. */
    private static final int MAX_PARTS = 4096;

    /** Maximum number of recorded suspects of one request. */
    private static final int MAX_SUSPECTS_PER_REQUEST = 32;

    private final Map<ServedPart, Instant> mTimes =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<ServedPart, Instant> eldest) {
                    return size() > MAX_PARTS;
                }
            };

    private record ServedPart(long id, String service) {}

    void onServed(Instant now, long part, String service) {
        mTimes.put(new ServedPart(part, service), now);
    }

    /** Records in a part's entry that it was served, and excuses the crashes before that. */
    void apply(CrashEntry e) {
        for (String service : e.services()) {
            Instant time = mTimes.get(new ServedPart(e.key().id(), service));
            if (time != null) {
                e.setServedBefore();
                e.excuseUntil(time, service);
            }
        }
    }

    /**
     * Returns the parts of a request in order, or a bounded number of those served least lately.
     */
    Collection<Long> leastServedFirst(Collection<Long> parts, String service) {
        if (parts.size() <= MAX_SUSPECTS_PER_REQUEST) {
            return parts;
        }
        Comparator<Long> byTime = Comparator.comparing(part -> lastServed(part, service));
        List<Long> sorted = parts.stream().sorted(byTime).toList();
        return sorted.subList(0, MAX_SUSPECTS_PER_REQUEST);
    }

    private Instant lastServed(long part, String service) {
        return mTimes.getOrDefault(new ServedPart(part, service), Instant.MIN);
    }
}
