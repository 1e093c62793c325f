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

/** The accepted changes of late, from which earlier trees and readers' deltas are worked out. */
final class SettingsHistory {
    private final Deque<HistoryEntry> mEntries;
    private final SettingsStore.Limits mLimits;
    private long mBytes;
    private long mForgotten;

    SettingsHistory(Collection<HistoryEntry> entries, long forgotten, SettingsStore.Limits limits) {
        mEntries = new ArrayDeque<>(entries);
        mBytes = entries.stream().mapToLong(HistoryEntry::bytes).sum();
        mForgotten = forgotten;
        mLimits = limits;
    }

    void add(HistoryEntry entry) {
        mEntries.addLast(entry);
        mBytes += entry.bytes();
        while (mEntries.size() > mLimits.historyEntries() || mBytes > mLimits.historyBytes()) {
            HistoryEntry oldest = mEntries.removeFirst();
            mBytes -= oldest.bytes();
            mForgotten = oldest.position();
        }
    }

    List<HistoryEntry> all() {
        return List.copyOf(mEntries);
    }

    /** Returns the position of the newest change that was forgotten; 0 if none was. */
    long forgotten() {
        return mForgotten;
    }

    /** Returns the newest entries, newest first; with a path only those that touch its node. */
    List<HistoryEntry> newest(Optional<NodePath> path, int limit) {
        List<HistoryEntry> found = new ArrayList<>();
        Iterator<HistoryEntry> newestFirst = mEntries.descendingIterator();
        while (newestFirst.hasNext() && found.size() < limit) {
            HistoryEntry e = newestFirst.next();
            if (path.isEmpty() || e.touches(path.get())) {
                found.add(e);
            }
        }
        return found;
    }

    /** Returns the nodes changed after a position, each with the position of its last change. */
    Map<NodePath, Long> touchedAfter(long position) {
        Map<NodePath, Long> touched = new LinkedHashMap<>();
        for (HistoryEntry e : newestAfter(position)) {
            e.before().forEach(n -> touched.putIfAbsent(n.path(), e.position()));
        }
        return touched;
    }

    /** Takes back the changes after a position. */
    SettingsTree rewind(SettingsTree current, long position) {
        SettingsTree tree = current;
        for (HistoryEntry e : newestAfter(position)) {
            tree = tree.with(position, e.before());
        }
        return tree;
    }

    private List<HistoryEntry> newestAfter(long position) {
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
