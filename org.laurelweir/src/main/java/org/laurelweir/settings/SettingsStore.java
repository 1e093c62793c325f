package org.laurelweir.settings;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.laurelweir.coordination.Command;
import org.laurelweir.lib.ResultCode;

/**
 * The replicated state machine of the settings tree. All replicas that apply the same commands at
 * the same log positions have the same state and give the same answers.
 *
 * <p>A change is atomic. A node's version is the log position of its last change, so versions rise
 * and are never reused. This class is not thread-safe; the trees that it returns are.
 */
public final class SettingsStore {
    private static final NodeFault MISSING_ID =
            new NodeFault("change", "", "has no id", "an id that its author makes up");

    private final Limits mLimits;
    private final SettingsHistory mHistory;
    private final RecordedAnswers mAnswers;
    private SettingsTree mTree;
    private long mRevision;
    private String mSource;
    private SettingsDelta mFullDelta = new SettingsDelta(0, true, List.of());

    /**
     * The limits of the history and of the recorded answers. They must be the same on all replicas.
     *
     * @param historyEntries the maximum number of accepted changes in the history; a reader that
     *     lacks more gets the whole tree
     * @param historyBytes the maximum estimated size of these changes in bytes; a change of a whole
     *     large tree takes as much as some thousand others
     * @param answers the maximum number of recorded answers
     * @param answerBytes the maximum estimated size of these answers in bytes; the newest answer is
     *     always recorded
     * @param answerRetention how long an answer is recorded
     */
    public record Limits(
            int historyEntries,
            int historyBytes,
            int answers,
            int answerBytes,
            Duration answerRetention) {
        /**
         * Keeps most of a day's changes at 14,000 changes of one or two nodes per day. History and
         * answers together take a sixteenth of the smallest heap in use, 64 MB. The limits don't
         * depend on the heap, since all replicas have to evict the same entries.
         */
        public static final Limits DEFAULT =
                new Limits(10_000, 3 << 20, 20_000, 1 << 20, Duration.ofDays(1));

        /** Creates limits with the default sizes in bytes. */
        public Limits(int historyEntries, int answers, Duration answerRetention) {
            this(
                    historyEntries,
                    DEFAULT.historyBytes,
                    answers,
                    DEFAULT.answerBytes,
                    answerRetention);
        }
    }

    /**
     * Creates a store from a state.
     *
     * @param state another store's state, or {@link SettingsState#EMPTY}
     * @param limits the limits of the history and of the recorded answers
     */
    public SettingsStore(SettingsState state, Limits limits) {
        mLimits = limits;
        mTree = SettingsTree.of(state.position(), state.nodes());
        mHistory = new SettingsHistory(state.history(), state.lastEvictedPosition(), limits);
        mAnswers = new RecordedAnswers(state.answers(), limits);
        mRevision = state.revision();
        mSource = state.source();
    }

    /** Returns the complete state, from which an equal store can be created. */
    public SettingsState state() {
        return new SettingsState(
                mTree.position(),
                mTree.nodes(),
                mHistory.lastEvictedPosition(),
                mHistory.all(),
                mAnswers.all(),
                mRevision,
                mSource);
    }

    /** Returns the tree in force. */
    public SettingsTree tree() {
        return mTree;
    }

    /**
     * Applies a change.
     *
     * @param position the command's log position; must rise from call to call
     * @param change the change
     * @return OK; the recorded first answer if the change was sent before; CHANGE_ID_REUSED if
     *     another change has the same ID; SETTINGS_CONFLICT if a node is not at its expected
     *     version; SETTINGS_INVALID with all faults. The tree changes only after OK.
     */
    public SettingsAnswer apply(long position, Command.ChangeSettings change) {
        if (position <= mTree.position()) {
            throw new IllegalArgumentException(
                    "position " + position + " is not after the tree's position");
        }
        mAnswers.evictExpired(change.timestamp());
        if (change.changeId().isBlank()) {
            return rejection(ResultCode.SETTINGS_INVALID, List.of(), List.of(MISSING_ID));
        }
        String digest = ChangeDigest.of(change.changes());
        RecordedAnswer recorded = mAnswers.find(change.changeId());
        if (recorded == null) {
            SettingsAnswer answer = applyNewChange(position, change);
            mAnswers.recordAnswer(
                    new RecordedAnswer(change.changeId(), change.timestamp(), digest, answer));
            return answer;
        }
        return recorded.digest().equals(digest)
                ? recorded.answer()
                : rejection(ResultCode.CHANGE_ID_REUSED, List.of(), List.of());
    }

    private SettingsAnswer applyNewChange(long position, Command.ChangeSettings change) {
        ChangePlan plan = ChangePlan.of(mTree, position, change.changes());
        if (!plan.conflicts().isEmpty()) {
            return rejection(ResultCode.SETTINGS_CONFLICT, plan.conflicts(), List.of());
        }
        SettingsTree after = mTree.with(position, plan.after());
        List<NodeFault> faults = new ArrayList<>(plan.faults());
        faults.addAll(ReferenceCheck.faultsOf(mTree, after, plan.after()));
        faults.addAll(TreeSizeLimit.faultsOf(mTree, after));
        if (!faults.isEmpty()) {
            return rejection(ResultCode.SETTINGS_INVALID, List.of(), faults);
        }
        mTree = after;
        mHistory.add(
                new HistoryEntry(
                        position,
                        change.timestamp(),
                        change.changeId(),
                        change.author(),
                        change.changes(),
                        plan.before()));
        return new SettingsAnswer(ResultCode.OK, position, plan.after(), List.of());
    }

    /**
     * Replaces the whole tree.
     *
     * @param position the command's log position; must rise from call to call
     * @param whole the new tree with its revision
     * @return OK, even if the revision is not above the one in force and nothing changed; or
     *     SETTINGS_INVALID with all faults, also if the revision is not above the one in force
     */
    public SettingsAnswer replace(long position, Command.ReplaceSettings whole) {
        if (position <= mTree.position()) {
            throw new IllegalArgumentException(
                    "position " + position + " is not after the tree's position");
        }
        TreePatch treePatch = TreePatch.between(mTree, whole.nodes());
        ReplacementInfo info =
                new ReplacementInfo(whole.timestamp(), whole.revision(), whole.author());
        return replace(position, treePatch, info, whole.source());
    }

    /**
     * Replaces the whole tree by a patch of the tree in force.
     *
     * @param position the command's log position; must rise from call to call
     * @param patch the patch with the new tree's revision
     * @return as {@link #replace}; or SETTINGS_CONFLICT, without a change, if the tree in force is
     *     not the one from which the patch was made
     */
    public SettingsAnswer patch(long position, Command.PatchSettings patch) {
        if (position <= mTree.position()) {
            throw new IllegalArgumentException(
                    "position " + position + " is not after the tree's position");
        }
        if (patch.base() != mTree.position()) {
            return rejection(ResultCode.SETTINGS_CONFLICT, List.of(), List.of());
        }
        ReplacementInfo info =
                new ReplacementInfo(patch.timestamp(), patch.revision(), patch.author());
        return replace(position, patch.treePatch(), info, patch.sourcePatch().applyTo(mSource));
    }

    /**
     * Returns the patch that turns the tree in force into another whole tree. Without patches, the
     * log would send megabytes to each replica for a change of one value.
     */
    public Command.PatchSettings patchTo(Command.ReplaceSettings whole) {
        return new Command.PatchSettings(
                whole.timestamp(),
                mTree.position(),
                whole.revision(),
                whole.author(),
                TreePatch.between(mTree, whole.nodes()),
                TextPatch.between(mSource, whole.source()));
    }

    private SettingsAnswer replace(
            long position, TreePatch treePatch, ReplacementInfo info, String source) {
        TreeReplacement replacement = TreeReplacement.of(mTree, position, treePatch);
        if (!replacement.faults().isEmpty()) {
            return rejection(ResultCode.SETTINGS_INVALID, List.of(), replacement.faults());
        }
        if (info.revision() <= mRevision) {
            return rejection(ResultCode.OK, List.of(), List.of());
        }
        mTree = mTree.with(position, replacement.after());
        mRevision = info.revision();
        mSource = source;
        mHistory.add(
                new HistoryEntry(
                        position,
                        info.timestamp(),
                        "revision-" + info.revision(),
                        info.author(),
                        replacement.changes(),
                        replacement.before()));
        return new SettingsAnswer(ResultCode.OK, position, replacement.after(), List.of());
    }

    /** The metadata of a replacement, for its history entry. */
    private record ReplacementInfo(Instant timestamp, long revision, String author) {}

    /** Returns the operator's revision of the last whole tree, or 0 if there was none. */
    public long revision() {
        return mRevision;
    }

    /** Returns the operator's text of the last whole tree, or empty if there was none. */
    public String source() {
        return mSource;
    }

    private SettingsAnswer rejection(
            ResultCode code, List<SettingsNode> nodes, List<NodeFault> faults) {
        return new SettingsAnswer(code, mTree.position(), nodes, faults);
    }

    /**
     * Returns the changes that a reader needs.
     *
     * @param position the reader's position
     * @return the nodes that changed after that position, or the whole tree if some of these
     *     changes have been evicted; empty, at the tree's position, for a reader that is at that
     *     position or ahead of it
     */
    public SettingsDelta deltaSince(long position) {
        if (position == 0 || position < mHistory.lastEvictedPosition()) {
            return fullDelta();
        }
        List<SettingsNode> nodes = new ArrayList<>();
        mHistory.changedAfter(position)
                .forEach((p, at) -> nodes.add(mTree.node(p).orElse(SettingsNode.tombstone(p, at))));
        return new SettingsDelta(mTree.position(), false, nodes);
    }

    /**
     * Returns the whole tree, built once per position: after a fleet restart all routers need it.
     */
    private SettingsDelta fullDelta() {
        if (mFullDelta.position() != mTree.position()) {
            mFullDelta = new SettingsDelta(mTree.position(), true, mTree.nodes());
        }
        return mFullDelta;
    }

    /**
     * Returns an earlier tree.
     *
     * @param position the log position at which the tree was in force
     * @return the tree, or empty if changes after that position have been evicted
     */
    public Optional<SettingsTree> treeAt(long position) {
        if (position < mHistory.lastEvictedPosition()) {
            return Optional.empty();
        }
        return Optional.of(mHistory.rewind(mTree, position));
    }

    /**
     * Compares the trees at two log positions.
     *
     * @return the values that differ, sorted by path and key; empty if one of the trees is not
     *     available, as its changes have been evicted
     */
    public Optional<List<ValueDiff>> diff(long from, long to) {
        return treeAt(from).flatMap(a -> treeAt(to).map(b -> TreeDiff.between(a, b)));
    }

    /**
     * Returns accepted changes, the newest first.
     *
     * @param path the node whose changes are returned, or empty for all nodes
     * @param limit the maximum number of entries
     */
    public List<HistoryEntry> history(Optional<NodePath> path, int limit) {
        return mHistory.newest(path, limit);
    }

    /** Returns the limits of the history and of the recorded answers. */
    public Limits limits() {
        return mLimits;
    }
}
