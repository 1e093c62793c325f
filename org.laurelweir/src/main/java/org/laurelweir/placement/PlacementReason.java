package org.laurelweir.placement;

/** Why the first candidate of a {@link Placement} comes first. */
public enum PlacementReason {
    /** It is the chat's home. */
    HOME,
    /** It last answered the chat through this router. */
    SEAT_HINT,
    /** The chat's home is ejected because it failed; this is the next in rank. */
    HOME_EJECTED,
    /** It has the lowest load among the backend servers that the policy compared. */
    LOAD,
    /** There is no candidate: no backend server accepts new requests. */
    NO_BACKEND_SERVER
}
