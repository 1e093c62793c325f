package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.Departure;
import org.laurelweir.settings.TextPatch;
import org.laurelweir.settings.TreePatch;

/**
 * A command in the replicated log. The leader adds a timestamp, so that all replicas make the same
 * decisions. Replicas never let the log's time go back, whatever the timestamps are.
 */
public sealed interface Command {
    /** Returns the leader's time when it received the command. */
    Instant timestamp();

    /** Returns the same command with another timestamp. */
    Command withTimestamp(Instant time);

    /**
     * Changes settings nodes atomically if all of them have the expected versions
     * (compare-and-set).
     */
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
     * @param expectedVersion the version that the node must have; 0 for a node that does not exist
     * @param set the keys to set, with their values as written by the author
     * @param remove the keys to remove, so that their values are inherited again
     * @param delete whether to remove the node
     */
    record NodeChange(
            String path,
            long expectedVersion,
            Map<String, String> set,
            List<String> remove,
            boolean delete) {}

    /**
     * Replaces the whole settings tree under a revision number that the operator chooses. A
     * revision that is not higher than the current one changes nothing.
     *
     * @param revision the operator's revision number of the tree
     * @param author the name that the history records as the author
     * @param nodes the values of every node by its path; all other nodes are deleted
     * @param source the operator's own text of the tree, stored to be read back; may be empty
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
     * Replaces the whole settings tree by a patch to an earlier tree. If that tree is not the
     * current one when the patch is applied, the patch changes nothing. The leader then proposes
     * the whole tree.
     *
     * @param base the log position of the tree that the patch applies to
     * @param revision the operator's revision number of the new tree
     * @param author the name that the history records as the author
     * @param treePatch the changes to the nodes
     * @param sourcePatch the patch to the operator's own text of the earlier tree
     */
    record PatchSettings(
            Instant timestamp,
            long base,
            long revision,
            String author,
            TreePatch treePatch,
            TextPatch sourcePatch)
            implements Command {
        @Override
        public PatchSettings withTimestamp(Instant time) {
            return new PatchSettings(time, base, revision, author, treePatch, sourcePatch);
        }
    }

    /**
     * Claims an idempotency key for an attempt before the attempt is sent to a backend server.
     *
     * @param replaces the attempt that holds the key and is proved never to have started, or null
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

    /** Records the result code of the attempt that holds a claim. */
    record SettleClaim(
            Instant timestamp, String account, String key, AttemptId attempt, ResultCode code)
            implements Command {
        @Override
        public SettleClaim withTimestamp(Instant time) {
            return new SettleClaim(time, account, key, attempt, code);
        }
    }

    /**
     * An operator's order to drain a backend server, so that it gets no new requests, or to undrain
     * it.
     */
    record Drain(Instant timestamp, String backend, boolean drain, String author)
            implements Command {
        @Override
        public Drain withTimestamp(Instant time) {
            return new Drain(time, backend, drain, author);
        }
    }

    /**
     * An operator's order to drain a data centre, so that its backend servers get no new requests,
     * or to undrain it.
     */
    record DrainDataCentre(Instant timestamp, String dataCentre, boolean drain, String author)
            implements Command {
        @Override
        public DrainDataCentre withTimestamp(Instant time) {
            return new DrainDataCentre(time, dataCentre, drain, author);
        }
    }

    /**
     * Records that a backend server without a sidecar is draining or has left, before that is
     * acknowledged.
     *
     * @param server the backend server with its incarnation
     * @param state draining or left
     * @param session the number of the announcement, see {@link Departure}
     * @param retention how long late announcements have to be recognized
     */
    record RecordDeparture(
            Instant timestamp,
            BackendRef server,
            Backend.State state,
            int session,
            Duration retention)
            implements Command {
        @Override
        public RecordDeparture withTimestamp(Instant time) {
            return new RecordDeparture(time, server, state, session, retention);
        }

        /** Returns the departure with its expiry. */
        Departure departure() {
            return new Departure(server, state, session, timestamp.plus(retention));
        }
    }

    /** Issues a new, higher fencing token for orders to a backend server. */
    record IssueFence(Instant timestamp, String backend) implements Command {
        @Override
        public IssueFence withTimestamp(Instant time) {
            return new IssueFence(time, backend);
        }
    }
}
