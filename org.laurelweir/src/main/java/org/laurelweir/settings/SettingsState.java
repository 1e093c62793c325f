package org.laurelweir.settings;

import java.util.List;

/**
 * The complete state of a {@link SettingsStore}, for snapshots of the replicated log.
 *
 * @param position the log position of the last accepted change
 * @param nodes every node, sorted by path
 * @param lastEvictedPosition the position of the newest accepted change that was evicted from the
 *     history; 0 if none was
 * @param history the kept accepted changes, the oldest first
 * @param answers the kept answers, the oldest first
 * @param revision the operator's revision of the last whole tree; 0 if the tree was never replaced
 * @param source the operator's text of that tree
 */
public record SettingsState(
        long position,
        List<SettingsNode> nodes,
        long lastEvictedPosition,
        List<HistoryEntry> history,
        List<RecordedAnswer> answers,
        long revision,
        String source) {
    /** The state before any change. */
    public static final SettingsState EMPTY =
            new SettingsState(0, List.of(), 0, List.of(), List.of(), 0, "");

    /** Copies the lists. */
    public SettingsState {
        nodes = List.copyOf(nodes);
        history = List.copyOf(history);
        answers = List.copyOf(answers);
    }
}
