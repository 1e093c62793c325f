package org.laurelweir.settings;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.laurelweir.coordination.Command;
import org.laurelweir.lib.ResultCode;

/**
 * The settings tree as the replicated log makes it. Every replica that applies the same commands at
 * the same positions holds the same state and gives the same answers.
 *
 * <p>A change is taken whole or not at all. A node's version is the position of its last change, so
 * versions rise and never come again. Not safe for use by several threads; the trees that it hands
 * out are.
 */
public final class SettingsStore {
    private static final NodeFault NO_ID =
            new NodeFault("change", "", "has no id", "an id that its author makes up");

    private final Limits mLimits;
    private final SettingsHistory mHistory;
    private final RecordedAnswers mAnswers;
    private SettingsTree mTree;
    private long mRevision;
    private String mSource;
    private SettingsDelta mWhole = new SettingsDelta(0, true, List.of());

    /**
     * How much is kept; the same on every replica.
     *
     * @param historyEntries accepted changes; a reader that lacks more gets the whole tree
     * @param historyBytes what these changes may take, about; a change of a whole large tree takes
     *     as much as some thousand others
     * @param answers first answers
     * @param answerBytes what these answers may take, about; the newest is kept in any case
     * @param answerRetention how long a first answer is kept
     */
    public record Limits(
            int historyEntries,
            int historyBytes,
            int answers,
            int answerBytes,
            Duration answerRetention) {
        /**
         * Most of a day at 14,000 changes of a node or two; together a sixteenth of the smallest
         * heap that is in use, 64 MB. Not a share of the heap, since every replica has to forget
         * the same.
         */
        public static final Limits DEFAULT =
                new Limits(10_000, 3 << 20, 20_000, 1 << 20, Duration.ofDays(1));

        /** Creates limits with the default's bytes. */
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
     * Restores a store.
     *
     * @param state what an earlier store remembered, or {@link SettingsState#EMPTY}
     * @param limits how much is kept
     */
    public SettingsStore(SettingsState state, Limits limits) {
        mLimits = limits;
        mTree = SettingsTree.of(state.position(), state.nodes());
        mHistory = new SettingsHistory(state.history(), state.lastEvictedPosition(), limits);
        mAnswers = new RecordedAnswers(state.answers(), limits);
        mRevision = state.revision();
        mSource = state.source();
    }

    /** Returns all that the store remembers. */
    public SettingsState state() {
        return new SettingsState(
                mTree.position(),
                mTree.nodes(),
                mHistory.forgotten(),
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
     * @param position where the command stands in the log; rises from call to call
     * @param change the change
     * @return OK; or the first answer if the change was sent before; CHANGE_ID_REUSED if another
     *     one was sent under its id; SETTINGS_CONFLICT if a node is not at its expected version;
     *     SETTINGS_INVALID with every fault. But for OK the tree stays as it was.
     */
    public SettingsAnswer apply(long position, Command.ChangeSettings change) {
        if (position <= mTree.position()) {
            throw new IllegalArgumentException("position " + position + " has passed");
        }
        mAnswers.expire(change.timestamp());
        if (change.changeId().isBlank()) {
            return refusal(ResultCode.SETTINGS_INVALID, List.of(), List.of(NO_ID));
        }
        String digest = ChangeDigest.of(change.changes());
        RecordedAnswer kept = mAnswers.find(change.changeId());
        if (kept == null) {
            SettingsAnswer answer = decide(position, change);
            mAnswers.keep(
                    new RecordedAnswer(change.changeId(), change.timestamp(), digest, answer));
            return answer;
        }
        return kept.digest().equals(digest)
                ? kept.answer()
                : refusal(ResultCode.CHANGE_ID_REUSED, List.of(), List.of());
    }

    private SettingsAnswer decide(long position, Command.ChangeSettings change) {
        ChangePlan plan = ChangePlan.of(mTree, position, change.changes());
        if (!plan.conflicts().isEmpty()) {
            return refusal(ResultCode.SETTINGS_CONFLICT, plan.conflicts(), List.of());
        }
        SettingsTree after = mTree.with(position, plan.after());
        List<NodeFault> faults = new ArrayList<>(plan.faults());
        faults.addAll(ReferenceCheck.faultsOf(mTree, after, plan.after()));
        faults.addAll(TreeSizeLimit.faultsOf(mTree, after));
        if (!faults.isEmpty()) {
            return refusal(ResultCode.SETTINGS_INVALID, List.of(), faults);
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
     * Replaces the tree.
     *
     * @param position where the command stands in the log; rises from call to call
     * @param whole the tree with its revision
     * @return OK, also where the revision is not above the one in force and nothing changed; or
     *     SETTINGS_INVALID with every fault, whatever the revision
     */
    public SettingsAnswer replace(long position, Command.ReplaceSettings whole) {
        if (position <= mTree.position()) {
            throw new IllegalArgumentException("position " + position + " has passed");
        }
        TreePatch difference = TreePatch.between(mTree, whole.nodes());
        ReplacementInfo note = new ReplacementInfo(whole.timestamp(), whole.revision(), whole.author());
        return replace(position, difference, note, whole.source());
    }

    /**
     * Replaces the tree by one that is told by its difference.
     *
     * @param position where the command stands in the log; rises from call to call
     * @param patch the difference with its revision
     * @return as {@link #replace}; or SETTINGS_CONFLICT if another tree is in force than the one
     *     that it differs from, and nothing changed
     */
    public SettingsAnswer patch(long position, Command.PatchSettings patch) {
        if (position <= mTree.position()) {
            throw new IllegalArgumentException("position " + position + " has passed");
        }
        if (patch.base() != mTree.position()) {
            return refusal(ResultCode.SETTINGS_CONFLICT, List.of(), List.of());
        }
        ReplacementInfo note = new ReplacementInfo(patch.timestamp(), patch.revision(), patch.author());
        return replace(position, patch.difference(), note, patch.source().applyTo(mSource));
    }

    /**
     * Returns a whole tree as what it has other than the one in force: a log of whole trees would
     * send megabytes to each replica for a change of one value.
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
            long position, TreePatch difference, ReplacementInfo note, String source) {
        TreeReplacement replacement = TreeReplacement.of(mTree, position, difference);
        if (!replacement.faults().isEmpty()) {
            return refusal(ResultCode.SETTINGS_INVALID, List.of(), replacement.faults());
        }
        if (note.revision() <= mRevision) {
            return refusal(ResultCode.OK, List.of(), List.of());
        }
        mTree = mTree.with(position, replacement.after());
        mRevision = note.revision();
        mSource = source;
        mHistory.add(
                new HistoryEntry(
                        position,
                        note.at(),
                        "revision-" + note.revision(),
                        note.author(),
                        replacement.changes(),
                        replacement.before()));
        return new SettingsAnswer(ResultCode.OK, position, replacement.after(), List.of());
    }

    /** What the history tells of a replaced tree beside the nodes. */
    private record ReplacementInfo(Instant at, long revision, String author) {}

    /** Returns the operator's number of the tree that was replaced last, 0 if none was. */
    public long revision() {
        return mRevision;
    }

    /** Returns the operator's own text of the tree that was replaced last. */
    public String source() {
        return mSource;
    }

    private SettingsAnswer refusal(
            ResultCode code, List<SettingsNode> nodes, List<NodeFault> faults) {
        return new SettingsAnswer(code, mTree.position(), nodes, faults);
    }

    /**
     * Returns what a reader lacks.
     *
     * @param position the reader's position
     * @return the nodes changed since, or the whole tree if changes since have been forgotten;
     *     empty, at the tree's position, for a reader that is at it or ahead of it
     */
    public SettingsDelta deltaSince(long position) {
        if (position == 0 || position < mHistory.forgotten()) {
            return whole();
        }
        List<SettingsNode> nodes = new ArrayList<>();
        mHistory.touchedAfter(position)
                .forEach((p, at) -> nodes.add(mTree.node(p).orElse(SettingsNode.tombstone(p, at))));
        return new SettingsDelta(mTree.position(), false, nodes);
    }

    /** Made once for each position: after a start of everything each router asks for it. */
    private SettingsDelta whole() {
        if (mWhole.position() != mTree.position()) {
            mWhole = new SettingsDelta(mTree.position(), true, mTree.nodes());
        }
        return mWhole;
    }

    /**
     * Returns an earlier tree.
     *
     * @param position a log position; the tree is the one in force there
     * @return the tree, or nothing if changes since have been forgotten
     */
    public Optional<SettingsTree> treeAt(long position) {
        if (position < mHistory.forgotten()) {
            return Optional.empty();
        }
        return Optional.of(mHistory.rewind(mTree, position));
    }

    /**
     * Compares two positions.
     *
     * @return what differs, sorted by path and key, or nothing if a position has been forgotten
     */
    public Optional<List<ValueDiff>> diff(long from, long to) {
        return treeAt(from).flatMap(a -> treeAt(to).map(b -> TreeDiff.between(a, b)));
    }

    /**
     * Returns accepted changes, the newest first.
     *
     * @param path only changes of this node, or nothing for all
     * @param limit most entries
     */
    public List<HistoryEntry> history(Optional<NodePath> path, int limit) {
        return mHistory.newest(path, limit);
    }

    /** Returns how much the store keeps. */
    public Limits limits() {
        return mLimits;
    }
}
