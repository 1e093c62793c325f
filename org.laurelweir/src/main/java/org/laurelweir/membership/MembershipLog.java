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
 * The newest announcement of each backend server, in the order of changes. A reader gets the
 * changes since its cursor at a cost that grows with the number of changes, not of backend servers.
 *
 * <p>Backend servers that left are kept for some time. If they were removed at once, an older
 * announcement that arrives late would add them again. A reader whose cursor is older than the last
 * removed entry gets the whole view instead of changes.
 */
final class MembershipLog {
    private final String mControl;
    private final long mIncarnation;
    private final Duration mDepartedRetention;
    private final Map<String, Long> mVersions = new HashMap<>();
    private final NavigableMap<Long, Announcement> mChanges = new TreeMap<>();
    private final ArrayDeque<Departure> mDepartures = new ArrayDeque<>();
    private long mVersion;
    private long mLastEvictedVersion;

    /**
     * Creates an empty log.
     *
     * @param control the name of the control instance that holds the log
     * @param incarnation that instance's incarnation, which is part of each cursor
     * @param departedRetention how long backend servers that left are kept
     */
    MembershipLog(String control, long incarnation, Duration departedRetention) {
        mControl = control;
        mIncarnation = incarnation;
        mDepartedRetention = departedRetention;
    }

    /** Returns the newest announcement of a backend server, or null if it is not known. */
    Announcement get(String id) {
        Long version = mVersions.get(id);
        return version == null ? null : mChanges.get(version);
    }

    /** Returns the newest announcement of every backend server, oldest change first. */
    Collection<Announcement> all() {
        return mChanges.values();
    }

    /** Adds an announcement if it is newer than the known one; returns whether it was added. */
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
            mDepartures.add(new Departure(now, id, mVersion));
        }
        return true;
    }

    /** Removes the backend servers that left longer ago than the retention time. */
    void evictDeparted(Instant now) {
        Instant earliestKept = now.minus(mDepartedRetention);
        while (!mDepartures.isEmpty() && mDepartures.peek().time().isBefore(earliestKept)) {
            Departure d = mDepartures.poll();
            if (mChanges.remove(d.version()) != null) {
                mVersions.remove(d.id());
                mLastEvictedVersion = d.version();
            }
        }
    }

    /** Returns the cursor of a reader that is up to date. */
    MembershipCursor cursor() {
        return new MembershipCursor(mControl, mIncarnation, mVersion);
    }

    /** Returns whether a reader with this cursor gets changes instead of the whole view. */
    boolean canContinue(MembershipCursor cursor) {
        return cursor.control().equals(mControl)
                && cursor.controlIncarnation() == mIncarnation
                && cursor.version() >= mLastEvictedVersion
                && cursor.version() <= mVersion;
    }

    /** Returns the changes since a cursor, or everything if the cursor can't be continued. */
    Collection<Announcement> since(MembershipCursor cursor) {
        return canContinue(cursor)
                ? mChanges.tailMap(cursor.version(), false).values()
                : mChanges.values();
    }

    /**
     * Returns the changes that a reader needs.
     *
     * @param cursor the reader's cursor
     * @param wanted selects the backend servers that the reader follows
     */
    MembershipDelta deltaSince(MembershipCursor cursor, Predicate<Backend> wanted) {
        List<Backend> backends = new ArrayList<>();
        for (Announcement a : since(cursor)) {
            if (wanted.test(a.backend())) {
                backends.add(a.backend());
            }
        }
        return new MembershipDelta(cursor(), !canContinue(cursor), backends);
    }

    private record Departure(Instant time, String id, long version) {}
}
