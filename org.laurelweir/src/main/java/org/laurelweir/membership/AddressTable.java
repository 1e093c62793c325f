package org.laurelweir.membership;

import java.util.HashMap;
import java.util.Map;

/**
 * Maps each address to the backend server that uses it, from the announcements that this control
 * instance received itself. If two backend servers announce the same address, the one that started
 * later uses it and the other one has crashed. The crashed one is removed at once: until it timed
 * out, routers would send it requests, which its successor refuses. A late announcement of the
 * crashed one must not remove the successor.
 */
final class AddressTable {
    private final SharedMembership mMembership;
    private final Map<String, String> mIdsByAddress = new HashMap<>();

    AddressTable(SharedMembership membership) {
        mMembership = membership;
    }

    /**
     * Returns whether a backend server may take over its address. If the announcements carry no
     * start times, a backend server that is announced for the first time counts as the later one.
     *
     * @param isNew whether neither this instance nor its peers know the backend server
     */
    boolean mayTakeOver(Backend b, boolean isNew) {
        Backend holder = holder(b.address());
        boolean isFree = holder == null || holder.state() == Backend.State.LEFT;
        if (isFree || holder.ref().id().equals(b.ref().id())) {
            return true;
        }
        if (holder.ref().incarnation() != DirectAnnouncements.NO_START_TIME) {
            return b.ref().incarnation() > holder.ref().incarnation();
        }
        return isNew;
    }

    /**
     * Assigns a backend server its address.
     *
     * @return the other backend server that had the address, or null if there was none
     */
    Backend assign(Backend b) {
        Backend previous = holder(b.address());
        mIdsByAddress.put(b.address(), b.ref().id());
        boolean isOther = previous != null && !previous.ref().id().equals(b.ref().id());
        return isOther ? previous : null;
    }

    private Backend holder(String address) {
        String id = mIdsByAddress.get(address);
        return id == null ? null : mMembership.backend(id);
    }

    /** Removes the backend servers that are not in the membership. */
    void prune() {
        mIdsByAddress.values().removeIf(id -> !mMembership.knows(id));
    }
}
