package org.laurelweir.settings;

import java.util.List;

/**
 * All that a {@link SettingsStore} has to remember, for snapshots of the replicated log.
 *
 * @param position the position of the last accepted change
 * @param nodes every node, sorted by path
 * @param lastEvictedPosition the position of the newest accepted change that the history no longer
 *     has
 * @param history accepted changes that are kept, the oldest first
 * @param answers answers that are kept, the oldest first
 * @param revision the operator's number of the tree that was replaced last, 0 if none was
 * @param source the operator's own text of that tree
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
