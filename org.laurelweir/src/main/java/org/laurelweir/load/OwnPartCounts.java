package org.laurelweir.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Counts a router's requests by the shared part of their prompts, for its reports to control. */
final class OwnPartCounts {
    private final Map<Long, Integer> mRequests = new HashMap<>();

    /** The counts in the last report that control has acknowledged. */
    private final Map<Long, Integer> mAcknowledged = new HashMap<>();

    private Map<Long, Integer> mReported = Map.of();

    void add(long part, int change) {
        mRequests.merge(part, change, (a, b) -> a + b == 0 ? null : Integer.valueOf(a + b));
    }

    /**
     * Returns the counts for a report.
     *
     * @param full whether to return all counts, or only those that have changed since the last
     *     acknowledged report
     */
    List<PartLoad> report(boolean full) {
        mReported = new HashMap<>(mRequests);
        Set<Long> listed = new HashSet<>(mRequests.keySet());
        if (!full) {
            listed.addAll(mAcknowledged.keySet());
            listed.removeIf(part -> requests(part) == mAcknowledged.getOrDefault(part, 0));
        }
        List<PartLoad> loads = new ArrayList<>();
        listed.forEach(part -> loads.add(new PartLoad(part, requests(part))));
        return loads;
    }

    private int requests(long part) {
        return mRequests.getOrDefault(part, 0);
    }

    /** Records that control has acknowledged the last report. */
    void onReportAcknowledged() {
        mAcknowledged.clear();
        mAcknowledged.putAll(mReported);
    }
}
