package org.laurelweir.placement;

import java.util.List;

/** Where a chat's history is, as far as the sidecar knows that got its request. */
public sealed interface ChatLocation {
    /** The engine here has it. */
    ChatLocation LOCAL = new Local();

    /** Nobody is known to have it: the chat is new or its history is lost. */
    ChatLocation UNKNOWN = new Unknown();

    /** The engine here has it. */
    record Local() implements ChatLocation {}

    /** Nobody is known to have it. */
    record Unknown() implements ChatLocation {}

    /**
     * Another backend server has it.
     *
     * @param server its name
     */
    record Remote(String server) implements ChatLocation {}

    /**
     * This server became the chat's home and has to ask once.
     *
     * @param candidates who may know, in order; all can be asked at the same time
     */
    record AskPeers(List<Candidate> candidates) implements ChatLocation {
        /** Copies the list. */
        public AskPeers {
            candidates = List.copyOf(candidates);
        }
    }
}
