package org.laurelweir.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** The running work per service over the serving backend servers, updated by differences. */
final class LoadSums {
    private final Map<String, ServiceSum> mSums = new HashMap<>();

    void add(SidecarReport r) {
        if (r.backend().state() == Backend.State.SERVING) {
            adjust(r.backend().service(), r.runningWork(), r.backend().weight(), 1);
        }
    }

    void subtract(SidecarReport r) {
        if (r.backend().state() == Backend.State.SERVING) {
            adjust(r.backend().service(), -r.runningWork(), -r.backend().weight(), -1);
        }
    }

    Collection<ServiceSum> all() {
        return mSums.values();
    }

    ServiceSum get(String service) {
        return mSums.getOrDefault(service, ServiceSum.zero(service));
    }

    private void adjust(String service, double work, double weight, int backends) {
        ServiceSum sum = get(service).plus(new ServiceSum(service, work, backends, weight));
        // Removing the sum at zero also removes the accumulated rounding errors.
        if (sum.backends() == 0) {
            mSums.remove(service);
        } else {
            mSums.put(service, sum);
        }
    }
}
