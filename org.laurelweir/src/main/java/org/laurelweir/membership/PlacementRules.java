package org.laurelweir.membership;

import java.util.Collection;
import java.util.List;
import java.util.Set;

/**
 * What control tells a router about where requests may go, beside the membership.
 *
 * @param drained the drained data centres; {@link DrainedDataCentres#NONE} if control has not told
 * @param slowStartServices the services whose backend servers take few requests in slow start
 * @param slowStartPermits the permits of this router for backend servers in slow start. Without a
 *     permit, a router sends no requests to such a server.
 */
public record PlacementRules(
        DrainedDataCentres drained,
        Collection<String> slowStartServices,
        List<SlowStartPermit> slowStartPermits) {
    /** The rules before control has told any. */
    public static final PlacementRules NONE =
            new PlacementRules(DrainedDataCentres.NONE, Set.of(), List.of());

    /** Makes immutable copies of the collections. */
    public PlacementRules {
        slowStartServices = Set.copyOf(slowStartServices);
        slowStartPermits = List.copyOf(slowStartPermits);
    }
}
