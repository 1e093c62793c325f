package org.laurelweir.placement;

/**
 * What a router remembers from earlier answers. Any hint may be outdated or absent. The sidecar
 * that receives the request decides, so that a wrong hint costs a redirect but never correctness.
 */
public interface PlacementHints {
    /** Hints of a router that has just started. */
    PlacementHints NONE = new PlacementHints() {};

    /**
     * Returns the work that a backend server last reported as running.
     *
     * @param id the backend server's name
     * @return the work, or NaN if unknown
     */
    default double runningWork(String id) {
        return Double.NaN;
    }

    /** Returns whether a backend server failed recently and is to be tried last. */
    default boolean isEjected(String id) {
        return false;
    }

    /**
     * Returns the backend server that last answered a chat.
     *
     * @param chat the chat
     * @return its name, or null if this router does not know it
     */
    default String lastServer(ChatKey chat) {
        return null;
    }
}
