package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.settings.TextPatch;
import org.laurelweir.settings.TreePatch;

/**
 * One entry of the replicated log. The leader stamps it with its time, so that every replica
 * decides the same; the stamp never goes back within the log.
 */
public sealed interface Command {
    /** When the leader took the command. */
    Instant timestamp();

    /** Returns the command as taken at another time. */
    Command withTimestamp(Instant time);

    /** A change of settings nodes, all or nothing, under compare-and-set. */
    record ChangeSettings(
            Instant timestamp, String changeId, String author, List<NodeChange> changes)
            implements Command {
        @Override
        public ChangeSettings withTimestamp(Instant time) {
            return new ChangeSettings(time, changeId, author, changes);
        }
    }

    /**
     * A change of one settings node.
     *
     * @param path the node's path
     * @param expectedVersion the version that the author saw; 0 for a node that does not exist
     * @param set keys to set, values as written
     * @param remove keys to remove, so that they are inherited again
     * @param delete whether to remove the node
     */
    record NodeChange(
            String path,
            long expectedVersion,
            Map<String, String> set,
            List<String> remove,
            boolean delete) {}

    /**
     * The whole tree, under a revision number that its operator gives. The highest revision wins;
     * one that is not higher changes nothing.
     *
     * @param revision the operator's number of the tree
     * @param author whom the history names
     * @param nodes the values of every node by its path; nodes that are not among them go
     * @param source the operator's own text, kept for reading back; may be empty
     */
    record ReplaceSettings(
            Instant timestamp,
            long revision,
            String author,
            Map<String, Map<String, String>> nodes,
            String source)
            implements Command {
        @Override
        public ReplaceSettings withTimestamp(Instant time) {
            return new ReplaceSettings(time, revision, author, nodes, source);
        }
    }

    /**
     * A whole tree as what it has other than the one before. It changes nothing where another one
     * is in force by then; the leader then takes the whole tree to the log.
     *
     * @param base the position of the tree that it differs from
     * @param revision the operator's number of the tree
     * @param author whom the history names
     * @param difference the nodes that change
     * @param source makes the operator's own text of the one before
     */
    record PatchSettings(
            Instant timestamp,
            long base,
            long revision,
            String author,
            TreePatch difference,
            TextPatch source)
            implements Command {
        @Override
        public PatchSettings withTimestamp(Instant time) {
            return new PatchSettings(time, base, revision, author, difference, source);
        }
    }

    /**
     * A claim on an idempotency key, before the attempt is sent.
     *
     * @param replaces the attempt that held the claim and is proved never to have started, or null
     */
    record Claim(
            Instant timestamp,
            String account,
            String key,
            String service,
            long fingerprint,
            AttemptId attempt,
            BackendRef target,
            AttemptId replaces,
            Duration retention)
            implements Command {
        @Override
        public Claim withTimestamp(Instant time) {
            return new Claim(
                    time, account, key, service, fingerprint, attempt, target, replaces, retention);
        }
    }

    /** The end of the attempt that holds a claim. */
    record SettleClaim(
            Instant timestamp, String account, String key, AttemptId attempt, ResultCode code)
            implements Command {
        @Override
        public SettleClaim withTimestamp(Instant time) {
            return new SettleClaim(time, account, key, attempt, code);
        }
    }

    /** An operator's wish that a backend server takes no new work, or takes it again. */
    record Drain(Instant timestamp, String backend, boolean drain, String author)
            implements Command {
        @Override
        public Drain withTimestamp(Instant time) {
            return new Drain(time, backend, drain, author);
        }
    }

    /** A new, higher fencing number for orders to one backend server. */
    record IssueFence(Instant timestamp, String backend) implements Command {
        @Override
        public IssueFence withTimestamp(Instant time) {
            return new IssueFence(time, backend);
        }
    }
}
