package org.laurelweir.admission;

import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;

/**
 * Who a sidecar is, from its start to its end.
 *
 * @param ref its backend server's name and its own incarnation
 * @param service the service
 * @param dataCentre where it stands
 * @param region the data centre's region
 * @param address where it listens, an IP number and a port
 * @param weight the backend server's capacity relative to the service's other ones
 */
public record SidecarIdentity(
        BackendRef ref,
        String service,
        String dataCentre,
        String region,
        String address,
        double weight) {

    /** Returns the same sidecar in another incarnation. */
    public SidecarIdentity withIncarnation(long incarnation) {
        BackendRef other = new BackendRef(ref.id(), incarnation);
        return new SidecarIdentity(other, service, dataCentre, region, address, weight);
    }

    /** Returns what the sidecar announces. */
    Backend announcement(Backend.State state, int session) {
        return new Backend(ref, service, dataCentre, region, address, state, weight, session);
    }
}
