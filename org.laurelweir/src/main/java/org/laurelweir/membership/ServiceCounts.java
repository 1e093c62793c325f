package org.laurelweir.membership;

import java.util.HashMap;
import java.util.Map;

/** How many backend servers of each service are present, kept by differences. */
final class ServiceCounts {
    private final Map<String, Integer> mPresent = new HashMap<>();

    int present(String service) {
        return mPresent.getOrDefault(service, 0);
    }

    void changed(Backend before, Backend after) {
        if (before != null && before.state() != Backend.State.LEFT) {
            mPresent.merge(before.service(), -1, Integer::sum);
        }
        if (after.state() != Backend.State.LEFT) {
            mPresent.merge(after.service(), 1, Integer::sum);
        }
    }
}
