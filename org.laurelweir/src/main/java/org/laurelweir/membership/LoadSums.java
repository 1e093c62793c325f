package org.laurelweir.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** Running work per service over backend servers that take new work, kept by differences. */
final class LoadSums {
    private final Map<String, ServiceSum> mSums = new HashMap<>();

    void add(SidecarReport r) {
        if (r.backend().state() == Backend.State.SERVING) {
            change(r.backend().service(), r.runningWork(), r.backend().weight(), 1);
        }
    }

    void subtract(SidecarReport r) {
        if (r.backend().state() == Backend.State.SERVING) {
            change(r.backend().service(), -r.runningWork(), -r.backend().weight(), -1);
        }
    }

    Collection<ServiceSum> all() {
        return mSums.values();
    }

    ServiceSum get(String service) {
        return mSums.getOrDefault(service, ServiceSum.none(service));
    }

    private void change(String service, double work, double weight, int backends) {
        ServiceSum sum = get(service).plus(new ServiceSum(service, work, backends, weight));
        // Starting over at zero also drops the rounding errors of the differences.
        if (sum.backends() == 0) {
            mSums.remove(service);
        } else {
            mSums.put(service, sum);
        }
    }
}
