package org.laurelweir.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * The newest announcement of each backend server, ordered by when it changed, so that any reader
 * gets what changed since its cursor at a cost that grows with the changes, not with the fleet.
 *
 * <p>Those that left are kept for a while: forgotten at once, an older announcement that is still
 * under way would bring one back. A reader whose cursor is older than something forgotten gets the
 * whole view instead of changes.
 */
public final class MembershipLog {
    private final String mControl;
    private final long mIncarnation;
    private final Duration mKeepLeft;
    private final Map<String, Long> mVersions = new HashMap<>();
    private final NavigableMap<Long, Backend> mChanges = new TreeMap<>();
    private final ArrayDeque<Departure> mLeft = new ArrayDeque<>();
    private long mVersion;
    private long mForgotten;

    /**
     * Creates an empty log.
     *
     * @param control the control instance that keeps it
     * @param incarnation that instance's run, which cursors carry
     * @param keepLeft how long backend servers that left are remembered
     */
    public MembershipLog(String control, long incarnation, Duration keepLeft) {
        mControl = control;
        mIncarnation = incarnation;
        mKeepLeft = keepLeft;
    }

    /** Returns the newest announcement of a backend server, or null if it is not known. */
    public Backend get(String id) {
        Long version = mVersions.get(id);
        return version == null ? null : mChanges.get(version);
    }

    /** Returns every backend server known, those that left included, oldest change first. */
    public Collection<Backend> all() {
        return mChanges.values();
    }

    /** Returns how often anything changed. */
    public long version() {
        return mVersion;
    }

    /**
     * Takes an announcement if it is newer than the one known.
     *
     * @param now when
     * @param backend what was announced
     * @return whether it was newer
     */
    public boolean merge(Instant now, Backend backend) {
        String id = backend.ref().id();
        Backend known = get(id);
        if (known != null && !backend.supersedes(known)) {
            return false;
        }
        if (known != null) {
            mChanges.remove(mVersions.get(id));
        }
        mVersion++;
        mVersions.put(id, mVersion);
        mChanges.put(mVersion, backend);
        if (backend.state() == Backend.State.LEFT) {
            mLeft.add(new Departure(now, id, mVersion));
        }
        return true;
    }

    /**
     * Forgets those that left long ago.
     *
     * @param now the time
     */
    public void forget(Instant now) {
        Instant latest = now.minus(mKeepLeft);
        while (!mLeft.isEmpty() && mLeft.peek().at().isBefore(latest)) {
            Departure d = mLeft.poll();
            if (mChanges.containsKey(d.version())) {
                mChanges.remove(d.version());
                mVersions.remove(d.id());
                mForgotten = d.version();
            }
        }
    }

    /**
     * Returns what a reader lacks.
     *
     * @param cursor where the reader stands
     * @param wanted the backend servers that the reader follows
     */
    public MembershipDelta deltaSince(MembershipCursor cursor, Predicate<Backend> wanted) {
        boolean full = !continues(cursor);
        Collection<Backend> changed =
                full ? mChanges.values() : mChanges.tailMap(cursor.version(), false).values();
        List<Backend> backends = new ArrayList<>();
        for (Backend b : changed) {
            if (wanted.test(b)) {
                backends.add(b);
            }
        }
        return new MembershipDelta(
                new MembershipCursor(mControl, mIncarnation, mVersion), full, backends);
    }

    private boolean continues(MembershipCursor cursor) {
        return cursor.control().equals(mControl)
                && cursor.controlIncarnation() == mIncarnation
                && cursor.version() >= mForgotten
                && cursor.version() <= mVersion;
    }

    private record Departure(Instant at, String id, long version) {}
}
