package org.laurelweir.placement;

import org.laurelweir.lib.BackendRef;

/**
 * A backend server that may take a chat.
 *
 * @param ref the run of its sidecar
 * @param dataCentre where it stands
 * @param weight its share of the chats against a plain backend server's 1; 0 takes none
 * @param draining whether it is leaving and takes no new work
 */
public record Candidate(BackendRef ref, String dataCentre, double weight, boolean draining) {
    /** Checks the weight. */
    public Candidate {
        if (!(weight >= 0) || Double.isInfinite(weight)) {
            throw new IllegalArgumentException("weight of " + ref + ": " + weight);
        }
    }

    /** Creates a candidate that takes new work. */
    public Candidate(BackendRef ref, String dataCentre, double weight) {
        this(ref, dataCentre, weight, false);
    }

    /** Returns the backend server's name. */
    public String id() {
        return ref.id();
    }

    /** Returns the same backend server, leaving. */
    public Candidate withDraining() {
        return new Candidate(ref, dataCentre, weight, true);
    }
}
