package org.laurelweir.membership;

import java.util.HashMap;
import java.util.Map;

/**
 * Which backend server is at each address, by what this control instance was told itself. Of two
 * names that announce one address the one that started later is there, and the other has crashed.
 * Left in place until it is missed, it would draw requests that its successor refuses; and a late
 * announcement of it must not push the successor out.
 */
final class AddressTable {
    private final SharedMembership mMembership;
    private final Map<String, String> mNames = new HashMap<>();

    AddressTable(SharedMembership membership) {
        mMembership = membership;
    }

    /**
     * Returns whether a backend server may be the one at its address. Where starts are not told,
     * the one that is heard for the first time is the later one.
     *
     * @param isUnheardOf whether nothing is known of it yet, here or from other instances
     */
    boolean mayHold(Backend b, boolean isUnheardOf) {
        Backend holder = holder(b.address());
        boolean free = holder == null || holder.state() == Backend.State.LEFT;
        if (free || holder.ref().id().equals(b.ref().id())) {
            return true;
        }
        if (holder.ref().incarnation() != DirectAnnouncements.START_UNTOLD) {
            return b.ref().incarnation() > holder.ref().incarnation();
        }
        return isUnheardOf;
    }

    /** Notes who is at an address from now on; returns who was before, or null for nobody else. */
    Backend hold(Backend b) {
        Backend before = holder(b.address());
        mNames.put(b.address(), b.ref().id());
        boolean isOther = before != null && !before.ref().id().equals(b.ref().id());
        return isOther ? before : null;
    }

    private Backend holder(String address) {
        String name = mNames.get(address);
        return name == null ? null : mMembership.backend(name);
    }

    /** Forgets those that the membership has forgotten. */
    void prune() {
        mNames.values().removeIf(id -> !mMembership.knows(id));
    }
}
