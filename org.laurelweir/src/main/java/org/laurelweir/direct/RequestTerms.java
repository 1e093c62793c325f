package org.laurelweir.direct;

import java.util.Map;

/**
 * What the settings and the caller say about a request's competition with others for room.
 *
 * @param contended whether the deployment's engines run out of memory before they run out of slots;
 *     otherwise the other values are not used
 * @param accountWeight weight of the client account's share
 * @param lengthHint number of tokens that the caller expects to be generated, or 0 if it names none
 * @param engines the capacity of the engines of each service that has any
 */
public record RequestTerms(
        boolean contended,
        double accountWeight,
        int lengthHint,
        Map<String, EngineCapacity> engines) {
    /** The terms of a request of a deployment without contention. */
    public static final RequestTerms NONE = new RequestTerms(false, 1, 0, Map.of());

    /** Creates terms with an immutable copy of the capacities. */
    public RequestTerms {
        engines = Map.copyOf(engines);
    }

    /** Returns the capacity of the engines of a service, or {@link EngineCapacity#NONE}. */
    public EngineCapacity engine(String service) {
        return engines.getOrDefault(service, EngineCapacity.NONE);
    }
}
