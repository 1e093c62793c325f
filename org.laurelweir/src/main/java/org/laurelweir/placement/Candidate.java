package org.laurelweir.placement;

import org.laurelweir.lib.BackendRef;

/**
 * A backend server that may serve a chat.
 *
 * @param ref the run of its sidecar
 * @param dataCentre its data centre
 * @param weight its share of the chats, relative to a backend server of weight 1; one of weight 0
 *     is never ranked
 * @param draining whether it is leaving and accepts no new requests
 */
public record Candidate(BackendRef ref, String dataCentre, double weight, boolean draining) {
    /** Validates the weight. */
    public Candidate {
        if (!(weight >= 0) || Double.isInfinite(weight)) {
            throw new IllegalArgumentException(
                    "weight of " + ref + " must be finite and not negative: " + weight);
        }
    }

    /** Creates a candidate that is not draining. */
    public Candidate(BackendRef ref, String dataCentre, double weight) {
        this(ref, dataCentre, weight, false);
    }

    /** Returns the backend server's name. */
    public String id() {
        return ref.id();
    }

    /** Returns a copy that is draining. */
    public Candidate withDraining() {
        return new Candidate(ref, dataCentre, weight, true);
    }
}
