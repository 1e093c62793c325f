package org.laurelweir.membership;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Takes the announcements of backend servers that have no sidecar. These go to any control
 * instance, may be late, and may overtake each other; each carries a number that rises.
 *
 * <p>The number becomes the session whenever something changes: the state, or the instance that
 * hears. A late announcement then has a lower session than what it would take back, on every
 * instance, so that one that drains is not called serving again. While nothing changes the session
 * stays, and an announcement costs its instance nothing that others have to be told of.
 */
public final class DirectSessions {
    /** The session of one that has left for good; no later announcement can be newer. */
    private static final int LAST = Integer.MAX_VALUE;

    private final SharedMembership mMembership;
    private final Map<String, Integer> mNewest = new HashMap<>();

    /** The name under which each address was announced for the first time last. */
    private final Map<String, String> mHolders = new HashMap<>();

    /** Creates an empty record beside a membership. */
    public DirectSessions(SharedMembership membership) {
        mMembership = membership;
    }

    /**
     * Takes an announcement.
     *
     * @param now when
     * @param b what it says; its session is the announcement's number
     */
    public void hear(Instant now, Backend b) {
        String id = b.ref().id();
        Backend known = mMembership.backend(id);
        if (known != null && b.session() <= known.session()) {
            return;
        }
        if (b.session() <= mNewest.getOrDefault(id, Integer.MIN_VALUE)) {
            return;
        }
        if (!mayHold(now, b)) {
            return;
        }
        mNewest.put(id, b.session());
        boolean goesOn = known != null && mMembership.hears(known) && known.state() == b.state();
        Backend told = goesOn ? b.withSession(known.session()) : b;
        mMembership.hear(now, new SidecarReport(told, 0, 0, 0));
    }

    /**
     * Decides who is at an address that two names announce. Each start of a backend server has a
     * new name, so the one that is heard for the first time is there, and the other has crashed.
     * Left in place until it is missed, it would draw requests that its successor refuses; and a
     * late announcement of it must not push the successor out.
     */
    private boolean mayHold(Instant now, Backend b) {
        String id = b.ref().id();
        String holder = mHolders.getOrDefault(b.address(), id);
        boolean isNew = mMembership.backend(id) == null && !mNewest.containsKey(id);
        if (!holder.equals(id)) {
            if (!isNew) {
                return false;
            }
            withdraw(now, holder);
        }
        mHolders.put(b.address(), id);
        return true;
    }

    /** Takes the word of a backend server that it leaves; it never comes back under its name. */
    public void withdraw(Instant now, String id) {
        Backend known = mMembership.backend(id);
        if (known == null) {
            return;
        }
        Backend left = known.withState(Backend.State.LEFT).withSession(LAST);
        mMembership.hear(now, new SidecarReport(left, 0, 0, 0));
    }

    /** Forgets those that the membership has forgotten. */
    public void prune() {
        mNewest.keySet().removeIf(id -> !mMembership.knows(id));
        mHolders.values().removeIf(id -> !mMembership.knows(id));
    }
}
