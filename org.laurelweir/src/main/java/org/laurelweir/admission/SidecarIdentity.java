package org.laurelweir.admission;

import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;

/**
 * The identity of one incarnation of a sidecar.
 *
 * @param ref its backend server's name and its own incarnation
 * @param service the service of the backend server
 * @param dataCentre the data centre
 * @param region the data centre's region
 * @param address the address that the sidecar listens on, an IP address and a port
 * @param weight the backend server's capacity relative to the other servers of its service
 * @param version the version of the backend server's software, or empty if it is not known
 */
public record SidecarIdentity(
        BackendRef ref,
        String service,
        String dataCentre,
        String region,
        String address,
        double weight,
        String version) {

    /** Creates the identity of a backend server whose software version is not known. */
    public SidecarIdentity(
            BackendRef ref,
            String service,
            String dataCentre,
            String region,
            String address,
            double weight) {
        this(ref, service, dataCentre, region, address, weight, "");
    }

    /** Returns the identity of another incarnation of the same sidecar. */
    public SidecarIdentity withIncarnation(long incarnation) {
        BackendRef newRef = new BackendRef(ref.id(), incarnation);
        return new SidecarIdentity(newRef, service, dataCentre, region, address, weight, version);
    }

    /** Returns the sidecar's announcement to control. */
    Backend announcement(Backend.State state, int session) {
        return new Backend(ref, service, dataCentre, region, address, state, weight, session)
                .withVersion(version);
    }
}
