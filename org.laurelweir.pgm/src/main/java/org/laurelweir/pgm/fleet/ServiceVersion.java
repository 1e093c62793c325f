package org.laurelweir.pgm.fleet;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.laurelweir.wire.v1.BackendState;
import org.laurelweir.wire.v1.BackendStatus;

/**
 * How many backend servers of a service have a software version.
 *
 * @param version the version, or empty for backend servers that announce none
 * @param serving how many of them accept new requests
 * @param draining how many finish the requests that they have
 */
record ServiceVersion(String service, String version, int serving, int draining) {
    private static final Comparator<ServiceVersion> ORDER =
            Comparator.comparing(ServiceVersion::service).thenComparing(ServiceVersion::version);

    /** Counts the versions of a list of backend servers, in the order of service and version. */
    static List<ServiceVersion> all(List<BackendStatus> backends) {
        Map<ServiceVersion, ServiceVersion> counts = new TreeMap<>(ORDER);
        for (BackendStatus b : backends) {
            ServiceVersion one = of(b);
            counts.merge(one, one, ServiceVersion::plus);
        }
        return List.copyOf(counts.values());
    }

    private static ServiceVersion of(BackendStatus b) {
        boolean serves = b.getBackend().getState() == BackendState.SERVING;
        return new ServiceVersion(
                b.getBackend().getService(),
                b.getBackend().getVersion(),
                serves ? 1 : 0,
                serves ? 0 : 1);
    }

    private ServiceVersion plus(ServiceVersion other) {
        return new ServiceVersion(
                service, version, serving + other.serving, draining + other.draining);
    }
}
