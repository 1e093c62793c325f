package org.laurelweir.placement;

import java.util.List;
import java.util.stream.Collectors;

/**
 * A router's decision about one request.
 *
 * @param candidates the backend servers to try, in order
 * @param reason why the first candidate comes first
 * @param viewVersion the version of the view that the decision was made from
 */
public record Placement(List<Candidate> candidates, PlacementReason reason, long viewVersion) {
    /** Copies the candidates. */
    public Placement {
        candidates = List.copyOf(candidates);
    }

    /**
     * Returns the backend server to try first.
     *
     * @return the candidate, or null if there is none
     */
    public Candidate first() {
        return candidates.isEmpty() ? null : candidates.get(0);
    }

    /** Returns the decision as a log line shows it. */
    @Override
    public String toString() {
        String ids = candidates.stream().map(Candidate::id).collect(Collectors.joining(","));
        return "reason=" + reason + " view=" + viewVersion + " candidates=[" + ids + "]";
    }
}
