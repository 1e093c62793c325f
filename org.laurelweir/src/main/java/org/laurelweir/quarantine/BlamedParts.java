package org.laurelweir.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.laurelweir.lib.BackendRef;

/**
 * Finds the parts of prompts that are to blame for crashes, among all parts with enough of them.
 *
 * <p>A part that many requests hold, or that happened to run beside the cause, has the same crashes
 * as the cause. So the part with most crashes is blamed first, those that were never served before
 * the others, and its crashes are no evidence against the others. Parts with nearly the same
 * crashes can't be told apart: they form a group, and only prompts with all of its parts are
 * quarantined. Any other prompt is sent, and its outcome tells the parts apart: served, it excuses
 * its parts; if it crashes a server, the parts that it lacks have fewer crashes than the others.
 */
final class BlamedParts {
    /**
     * Maximum number of crashes that a part of a group lacks, compared with the part that has most.
     * Each may be a chance crash beside the cause; each lets one more crash happen where the part
     * is not the cause.
     */
    private static final int MAX_MISSING_CRASHES = 1;

    /** Maximum number of parts of a group. */
    private static final int MAX_GROUP_SIZE = 4;

    private static final Comparator<CrashEntry> MOST_SUSPECT_FIRST =
            Comparator.comparing(CrashEntry::isServedBefore)
                    .thenComparing(Comparator.comparingInt(CrashEntry::unexcusedCount).reversed())
                    .thenComparingLong(e -> e.key().id());

    private final Set<CrashEntry> mCandidates = new HashSet<>();
    private List<Group> mGroups = List.of();

    /** Parts that can't be told apart, the most suspect one first. */
    private static final class Group {
        private final List<CrashEntry> mParts = new ArrayList<>();
        private final Set<BackendRef> mServers;

        Group(CrashEntry first) {
            mParts.add(first);
            mServers = first.unexcusedServers();
        }

        /** Adds a part with nearly the same crashes; returns whether the group explains it. */
        boolean explains(CrashEntry e) {
            Set<BackendRef> servers = e.unexcusedServers();
            int size = servers.size();
            servers.retainAll(mServers);
            int unexplained = size - servers.size();
            if (unexplained >= e.quarantineCrashes()) {
                return false;
            }
            if (first().isServedBefore() == e.isServedBefore()
                    && mServers.size() - servers.size() <= MAX_MISSING_CRASHES
                    && mParts.size() < MAX_GROUP_SIZE) {
                mParts.add(e);
            }
            return true;
        }

        CrashEntry first() {
            return mParts.get(0);
        }

        boolean isIn(Collection<Long> parts) {
            return mParts.stream().allMatch(e -> parts.contains(e.key().id()));
        }
    }

    /** Returns whether a part is blamed, alone or with others. */
    boolean contains(CrashEntry e) {
        return mGroups.stream().anyMatch(g -> g.mParts.contains(e));
    }

    /** Returns the most suspect part of a group that a prompt holds, if there is one. */
    Optional<SuspectKey> find(String account, String service, Collection<Long> parts) {
        return mGroups.stream()
                .filter(g -> g.isIn(parts) && g.first().concerns(account, service))
                .findFirst()
                .map(g -> g.first().key());
    }

    /** Handles a change of a part; returns the parts whose blame may have changed. */
    Collection<CrashEntry> update(CrashEntry e) {
        if (!e.isQuarantinable()) {
            return remove(e);
        }
        mCandidates.add(e);
        return regroup();
    }

    /** Removes a part; returns the parts whose blame may have changed. */
    Collection<CrashEntry> remove(CrashEntry e) {
        return mCandidates.remove(e) ? regroup() : List.of();
    }

    private Collection<CrashEntry> regroup() {
        Set<CrashEntry> affected = new LinkedHashSet<>();
        mGroups.forEach(g -> affected.addAll(g.mParts));
        List<Group> groups = new ArrayList<>();
        for (CrashEntry e : mCandidates.stream().sorted(MOST_SUSPECT_FIRST).toList()) {
            if (groups.stream().noneMatch(g -> g.explains(e))) {
                groups.add(new Group(e));
            }
        }
        mGroups = groups;
        mGroups.forEach(g -> affected.addAll(g.mParts));
        return affected;
    }
}
