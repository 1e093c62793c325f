package org.laurelweir.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** How many of a router's requests are about each shared part, and what control has taken of it. */
final class OwnPartCounts {
    private final Map<Long, Integer> mRequests = new HashMap<>();
    private final Map<Long, Integer> mAcknowledged = new HashMap<>();
    private Map<Long, Integer> mReported = Map.of();

    void add(long part, int change) {
        mRequests.merge(part, change, (a, b) -> a + b == 0 ? null : Integer.valueOf(a + b));
    }

    /**
     * Returns what control has to be told.
     *
     * @param whole whether that is everything, or only what it has not taken
     */
    List<PartLoad> report(boolean whole) {
        mReported = new HashMap<>(mRequests);
        Set<Long> told = new HashSet<>(mRequests.keySet());
        if (!whole) {
            told.addAll(mAcknowledged.keySet());
            told.removeIf(part -> requests(part) == mAcknowledged.getOrDefault(part, 0));
        }
        List<PartLoad> loads = new ArrayList<>();
        told.forEach(part -> loads.add(new PartLoad(part, requests(part))));
        return loads;
    }

    private int requests(long part) {
        return mRequests.getOrDefault(part, 0);
    }

    /** Control has taken the last report. */
    void onReportAcknowledged() {
        mAcknowledged.clear();
        mAcknowledged.putAll(mReported);
    }
}
