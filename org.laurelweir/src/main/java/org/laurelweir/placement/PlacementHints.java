package org.laurelweir.placement;

/**
 * What a router remembers from earlier answers. Every hint may be old or absent; the sidecar that
 * gets the request decides, so a wrong hint costs a redirect and never correctness.
 */
public interface PlacementHints {
    /** Hints of a router that has just started. */
    PlacementHints NONE = new PlacementHints() {};

    /**
     * Returns the work that a backend server last said it carries.
     *
     * @param id the backend server's name
     * @return the work, or NaN if nothing is known
     */
    default double runningWork(String id) {
        return Double.NaN;
    }

    /** Returns whether a backend server failed lately and is better tried last. */
    default boolean isEjected(String id) {
        return false;
    }

    /**
     * Returns the backend server that last answered a chat.
     *
     * @param chat the chat
     * @return its name, or null if this router does not know
     */
    default String lastServer(ChatKey chat) {
        return null;
    }
}
