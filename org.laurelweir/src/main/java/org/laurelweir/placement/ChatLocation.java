package org.laurelweir.placement;

import java.util.List;

/** Where a chat's history is, as far as the sidecar that received its request knows. */
public sealed interface ChatLocation {
    /** The engine of this server has the history. */
    ChatLocation LOCAL = new Local();

    /** No server is known to have the history: the chat is new or its history is lost. */
    ChatLocation UNKNOWN = new Unknown();

    /** The engine of this server has the history. */
    record Local() implements ChatLocation {}

    /** No server is known to have the history. */
    record Unknown() implements ChatLocation {}

    /**
     * Another backend server has the history.
     *
     * @param server the server's name
     */
    record Remote(String server) implements ChatLocation {}

    /**
     * This server has become the chat's home and has to ask other servers once.
     *
     * @param candidates the servers that may know the location, in order; all can be asked at the
     *     same time
     */
    record AskPeers(List<Candidate> candidates) implements ChatLocation {
        /** Copies the candidates. */
        public AskPeers {
            candidates = List.copyOf(candidates);
        }
    }
}
