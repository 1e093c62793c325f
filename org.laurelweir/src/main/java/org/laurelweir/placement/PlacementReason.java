package org.laurelweir.placement;

/** Why the first candidate of a {@link Placement} comes first. */
public enum PlacementReason {
    /** It is the chat's home. */
    HOME,
    /** It answered the chat last, as far as this router knows. */
    SEAT_HINT,
    /** The chat's home is ejected for its failures; this is the next in rank. */
    HOME_EJECTED,
    /** It has the least load that the policy saw. */
    LOAD,
    /** No backend server takes new work. */
    NO_BACKEND_SERVER
}
