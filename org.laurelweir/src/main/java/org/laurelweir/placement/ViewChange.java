package org.laurelweir.placement;

/** One change to a {@link ServiceView}. Applying the same change twice has no further effect. */
public sealed interface ViewChange {
    /** Returns the backend server that the change is about. */
    String id();

    /**
     * A backend server joined, or joined again with another incarnation, data centre or weight.
     *
     * @param candidate its current description
     */
    record Join(Candidate candidate) implements ViewChange {
        @Override
        public String id() {
            return candidate.id();
        }
    }

    /**
     * A backend server left, or was removed because it is missing.
     *
     * @param id its name
     */
    record Leave(String id) implements ViewChange {}

    /**
     * A backend server is draining: it accepts no new requests, but can still be asked about its
     * chats.
     *
     * @param id its name
     */
    record Drain(String id) implements ViewChange {}
}
