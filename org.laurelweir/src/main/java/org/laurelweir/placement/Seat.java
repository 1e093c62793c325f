package org.laurelweir.placement;

import java.util.List;

/** Where a chat's history is, as far as the sidecar knows that got its request. */
public sealed interface Seat {
    /** The engine here has it. */
    Seat HERE = new Here();

    /** Nobody is known to have it: the chat is new or its history is lost. */
    Seat UNKNOWN = new Unknown();

    /** The engine here has it. */
    record Here() implements Seat {}

    /** Nobody is known to have it. */
    record Unknown() implements Seat {}

    /**
     * Another backend server has it.
     *
     * @param server its name
     */
    record Elsewhere(String server) implements Seat {}

    /**
     * This server became the chat's home and has to ask once.
     *
     * @param candidates who may know, in order; all can be asked at the same time
     */
    record Ask(List<Candidate> candidates) implements Seat {
        /** Copies the list. */
        public Ask {
            candidates = List.copyOf(candidates);
        }
    }
}
