package org.laurelweir.membership;

import java.util.HashMap;
import java.util.Map;

/** The number of each service's backend servers that have not left, updated by differences. */
final class ServiceCounts {
    private final Map<String, Integer> mCounts = new HashMap<>();

    int presentCount(String service) {
        return mCounts.getOrDefault(service, 0);
    }

    void update(Backend before, Backend after) {
        if (before != null && before.state() != Backend.State.LEFT) {
            mCounts.merge(before.service(), -1, Integer::sum);
        }
        if (after.state() != Backend.State.LEFT) {
            mCounts.merge(after.service(), 1, Integer::sum);
        }
    }
}
