package org.laurelweir.settings;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The recent accepted changes, from which earlier trees and readers' deltas are computed. */
final class SettingsHistory {
    private final Deque<HistoryEntry> mEntries;
    private final SettingsStore.Limits mLimits;
    private long mBytes;
    private long mLastEvictedPosition;

    SettingsHistory(
            Collection<HistoryEntry> entries,
            long lastEvictedPosition,
            SettingsStore.Limits limits) {
        mEntries = new ArrayDeque<>(entries);
        mBytes = entries.stream().mapToLong(HistoryEntry::estimatedBytes).sum();
        mLastEvictedPosition = lastEvictedPosition;
        mLimits = limits;
    }

    void add(HistoryEntry entry) {
        mEntries.addLast(entry);
        mBytes += entry.estimatedBytes();
        while (mEntries.size() > mLimits.historyEntries() || mBytes > mLimits.historyBytes()) {
            HistoryEntry oldest = mEntries.removeFirst();
            mBytes -= oldest.estimatedBytes();
            mLastEvictedPosition = oldest.position();
        }
    }

    List<HistoryEntry> all() {
        return List.copyOf(mEntries);
    }

    /** Returns the position of the newest evicted change; 0 if none was evicted. */
    long lastEvictedPosition() {
        return mLastEvictedPosition;
    }

    /** Returns the newest entries, newest first; with a path, only changes of that node. */
    List<HistoryEntry> newest(Optional<NodePath> path, int limit) {
        List<HistoryEntry> found = new ArrayList<>();
        Iterator<HistoryEntry> newestFirst = mEntries.descendingIterator();
        while (newestFirst.hasNext() && found.size() < limit) {
            HistoryEntry e = newestFirst.next();
            if (path.isEmpty() || e.changesNode(path.get())) {
                found.add(e);
            }
        }
        return found;
    }

    /**
     * Returns the nodes that changed after a position, each with the position of its last change.
     */
    Map<NodePath, Long> changedAfter(long position) {
        Map<NodePath, Long> changed = new LinkedHashMap<>();
        for (HistoryEntry e : entriesAfter(position)) {
            e.before().forEach(n -> changed.putIfAbsent(n.path(), e.position()));
        }
        return changed;
    }

    /** Returns the tree at an earlier position, by reverting the changes after it. */
    SettingsTree rewind(SettingsTree current, long position) {
        SettingsTree tree = current;
        for (HistoryEntry e : entriesAfter(position)) {
            tree = tree.with(position, e.before());
        }
        return tree;
    }

    private List<HistoryEntry> entriesAfter(long position) {
        List<HistoryEntry> after = new ArrayList<>();
        Iterator<HistoryEntry> newestFirst = mEntries.descendingIterator();
        while (newestFirst.hasNext()) {
            HistoryEntry e = newestFirst.next();
            if (e.position() <= position) {
                break;
            }
            after.add(e);
        }
        return after;
    }
}
