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
final class MembershipLog {
    private final String mControl;
    private final long mIncarnation;
    private final Duration mKeepLeft;
    private final Map<String, Long> mVersions = new HashMap<>();
    private final NavigableMap<Long, Announcement> mChanges = new TreeMap<>();
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
    MembershipLog(String control, long incarnation, Duration keepLeft) {
        mControl = control;
        mIncarnation = incarnation;
        mKeepLeft = keepLeft;
    }

    /** Returns the newest announcement of a backend server, or null if it is not known. */
    Announcement get(String id) {
        Long version = mVersions.get(id);
        return version == null ? null : mChanges.get(version);
    }

    /** Returns every backend server known, those that left included, oldest change first. */
    Collection<Announcement> all() {
        return mChanges.values();
    }

    /** Takes an announcement if it is newer than the one known; returns whether it was. */
    boolean merge(Instant now, Announcement a) {
        String id = a.backend().ref().id();
        Announcement known = get(id);
        if (known != null && !a.backend().supersedes(known.backend())) {
            return false;
        }
        if (known != null) {
            mChanges.remove(mVersions.get(id));
        }
        mVersion++;
        mVersions.put(id, mVersion);
        mChanges.put(mVersion, a);
        if (a.backend().state() == Backend.State.LEFT) {
            mLeft.add(new Departure(now, id, mVersion));
        }
        return true;
    }

    /** Forgets those that left long ago. */
    void forget(Instant now) {
        Instant latest = now.minus(mKeepLeft);
        while (!mLeft.isEmpty() && mLeft.peek().at().isBefore(latest)) {
            Departure d = mLeft.poll();
            if (mChanges.remove(d.version()) != null) {
                mVersions.remove(d.id());
                mForgotten = d.version();
            }
        }
    }

    /** Returns the cursor of a reader that has everything. */
    MembershipCursor cursor() {
        return new MembershipCursor(mControl, mIncarnation, mVersion);
    }

    /** Returns whether a reader there can be given changes, rather than the whole view. */
    boolean continues(MembershipCursor cursor) {
        return cursor.control().equals(mControl)
                && cursor.controlIncarnation() == mIncarnation
                && cursor.version() >= mForgotten
                && cursor.version() <= mVersion;
    }

    /** Returns what changed since a cursor, or all if it can't be continued. */
    Collection<Announcement> since(MembershipCursor cursor) {
        return continues(cursor)
                ? mChanges.tailMap(cursor.version(), false).values()
                : mChanges.values();
    }

    /**
     * Returns what a reader lacks.
     *
     * @param cursor where the reader stands
     * @param wanted the backend servers that the reader follows
     */
    MembershipDelta deltaSince(MembershipCursor cursor, Predicate<Backend> wanted) {
        List<Backend> backends = new ArrayList<>();
        for (Announcement a : since(cursor)) {
            if (wanted.test(a.backend())) {
                backends.add(a.backend());
            }
        }
        return new MembershipDelta(cursor(), !continues(cursor), backends);
    }

    private record Departure(Instant at, String id, long version) {}
}
