package org.laurelweir.coordination;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.function.Consumer;
import org.laurelweir.consensus.ConsensusEffect;
import org.laurelweir.consensus.ConsensusEvent;
import org.laurelweir.consensus.ConsensusReducer;
import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.MembershipChange;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.consensus.Role;
import org.laurelweir.consensus.Snapshot;
import org.laurelweir.coordination.ControlEffect.AnswerCommand;
import org.laurelweir.coordination.ControlEffect.AnswerError;
import org.laurelweir.coordination.ControlEffect.AnswerMembership;
import org.laurelweir.coordination.ControlEffect.EncodeSnapshot;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.membership.Departure;

/**
 * This instance's replica of the log together with its state machine. It proposes commands and
 * answers them with their results, runs linearizable reads, and takes and installs snapshots.
 */
final class LogReplica {
    private final ControlConfig mConfig;
    private final LogCodec mCodec;
    private final ControlState mState;
    private final ConsensusReducer mConsensus;
    private final StalenessDetector mStaleness;
    private final DecisionLogger mDecisionLogger;
    private final Consumer<Departure> mOnDeparture;
    private final Map<Long, Command> mPendingCommands = new HashMap<>();
    private final Set<Long> mPendingMembershipChanges = new HashSet<>();
    private final Map<Long, Runnable> mPendingReads = new HashMap<>();

    /**
     * Calls that replace the whole settings tree and whose patch could not be applied, because the
     * current tree was not the one that the patch was made for. They are proposed again with the
     * whole tree.
     */
    private final Queue<Long> mConflictedReplaces = new ArrayDeque<>();

    private Instant mNow;
    private Consumer<? super ControlEffect> mEffects;
    private CommandResult mLastResult;

    /**
     * Creates a replica.
     *
     * @param onDeparture receives each departure that is applied or restored
     */
    LogReplica(
            ControlConfig config,
            LogCodec codec,
            long seed,
            DecisionLogger decisionLogger,
            Consumer<Departure> onDeparture) {
        mOnDeparture = onDeparture;
        mConfig = config;
        mCodec = codec;
        mState = new ControlState(config.limits());
        mConsensus = new ConsensusReducer(config.replica(), config.consensus(), seed);
        mStaleness = new StalenessDetector(mConsensus, config.staleAfter());
        mDecisionLogger = decisionLogger;
    }

    /** Returns the applied state. Callers must not modify it. */
    ControlState state() {
        return mState;
    }

    boolean isPossiblyStale(Instant now) {
        return mStaleness.isPossiblyStale(now);
    }

    /** Returns the status of this instance, without a loss tolerance. */
    ControlInstanceStatus status(Instant now) {
        return new ControlInstanceStatus(
                mConfig.replica(),
                mConfig.address(),
                isLeader(),
                mConsensus.term(),
                mConsensus.commitIndex(),
                isPossiblyStale(now),
                mConsensus.membership(),
                Optional.empty());
    }

    boolean isLeader() {
        return mConsensus.role() == Role.LEADER;
    }

    /** Returns the leader of the current term, or null while unknown. */
    ReplicaId leader() {
        return mConsensus.leader();
    }

    /** Returns the size in bytes of the log entries in memory. */
    long logBytes() {
        return mConsensus.logBytes();
    }

    /** Returns the size in bytes of the last snapshot's state. */
    long snapshotBytes() {
        return mConsensus.snapshotBytes();
    }

    Membership membership() {
        return mConsensus.membership();
    }

    /**
     * Returns whether a replica is in contact and its log is close to this one. False unless this
     * instance leads.
     */
    boolean hasCaughtUp(ReplicaId id) {
        return mConsensus.hasCaughtUp(id);
    }

    /** Returns whether another replica has told this instance as the leader that it stops soon. */
    boolean isLeaving(ReplicaId id) {
        return mConsensus.isLeaving(id);
    }

    /**
     * Returns when another replica last replied; empty if it is not a member, or this instance does
     * not lead.
     */
    Optional<Instant> lastContact(ReplicaId id) {
        return mConsensus.lastContact(id);
    }

    void step(Instant now, ConsensusEvent event, Consumer<? super ControlEffect> effects) {
        mNow = now;
        mEffects = effects;
        if (event instanceof ConsensusEvent.Recovered r && r.snapshot().index() > 0) {
            restore(r.snapshot());
        }
        mConsensus.step(now, event, this::onEffect);
        retryConflictedReplaces();
        if (event instanceof ConsensusEvent.MessageReceived m) {
            mStaleness.onMessage(now, m);
        }
    }

    /**
     * Proposes a command and answers the call with the result, or with an error if this replica
     * does not lead.
     */
    void propose(Instant now, long call, Command command, Consumer<? super ControlEffect> out) {
        // Files store milliseconds. A finer timestamp would differ between a replica that has
        // restarted and the others.
        Command stamped = command.withTimestamp(Instant.ofEpochMilli(now.toEpochMilli()));
        mPendingCommands.put(call, stamped);
        step(now, new ConsensusEvent.Proposed(call, encode(stamped)), out);
    }

    /**
     * Returns the encoded command. A command that replaces the whole settings tree is encoded as a
     * patch if that is smaller, provided that the whole tree is within the size limit of commands.
     */
    private byte[] encode(Command command) {
        byte[] encoded = mCodec.encode(command);
        boolean fits = encoded.length <= mConfig.consensus().logLimits().maxCommandBytes();
        if (!fits || !isLeader() || !(command instanceof Command.ReplaceSettings whole)) {
            return encoded;
        }
        byte[] patch = mCodec.encode(mState.settings().patchTo(whole));
        return patch.length < encoded.length ? patch : encoded;
    }

    /**
     * Proposes the whole tree for calls whose patch had a conflict. This has to wait until the
     * consensus step that reported the conflict is complete, since the consensus reducer handles
     * one event at a time.
     */
    private void retryConflictedReplaces() {
        while (!mConflictedReplaces.isEmpty()) {
            long call = mConflictedReplaces.remove();
            byte[] whole = mCodec.encode(mPendingCommands.get(call));
            mConsensus.step(mNow, new ConsensusEvent.Proposed(call, whole), this::onEffect);
        }
    }

    void changeMembership(
            Instant now, long call, MembershipChange c, Consumer<? super ControlEffect> out) {
        mPendingMembershipChanges.add(call);
        step(now, new ConsensusEvent.MembershipChangeProposed(call, c), out);
    }

    /**
     * Runs a read once the applied state includes every write that was acknowledged before the
     * call.
     */
    void read(Instant now, long call, Runnable read, Consumer<? super ControlEffect> out) {
        mPendingReads.put(call, read);
        step(now, new ConsensusEvent.ReadRequested(call), out);
    }

    private void onEffect(ConsensusEffect e) {
        if (e instanceof ConsensusEffect.Send s) {
            mEffects.accept(new ControlEffect.SendToReplica(s));
        } else if (e instanceof ConsensusEffect.Persist p) {
            mEffects.accept(new ControlEffect.Persist(p));
        } else if (e instanceof ConsensusEffect.MarkCommitted m) {
            mEffects.accept(new ControlEffect.MarkCommitted(m.index()));
        } else if (e instanceof ConsensusEffect.Apply a) {
            apply(a);
        } else if (e instanceof ConsensusEffect.ProposalAccepted a) {
            onAccepted(a.proposalId());
        } else if (e instanceof ConsensusEffect.ProposalRejected r) {
            onRejected(r);
        } else if (e instanceof ConsensusEffect.ReadReady r) {
            mPendingReads.remove(r.readId()).run();
        } else if (e instanceof ConsensusEffect.ReadRejected r) {
            mPendingReads.remove(r.readId());
            answerError(r.readId(), r.code(), r.leader());
        } else {
            onOtherEffect(e);
        }
    }

    private void apply(ConsensusEffect.Apply a) {
        Command command = mCodec.decodeCommand(a.command());
        mLastResult = mState.apply(a.index(), command);
        if (command instanceof Command.RecordDeparture d) {
            mOnDeparture.accept(mState.departures().get(d.server().id()));
        }
    }

    private void onOtherEffect(ConsensusEffect e) {
        if (e instanceof ConsensusEffect.TakeSnapshot t) {
            mEffects.accept(new EncodeSnapshot(t.index(), mState.snapshot()));
        } else if (e instanceof ConsensusEffect.InstallSnapshot i) {
            restore(i.snapshot());
        } else if (e instanceof ConsensusEffect.RoleChanged r) {
            mStaleness.onRoleChanged(r.role());
            mDecisionLogger.roleChanged(mNow, r, mEffects);
        } else if (e instanceof ConsensusEffect.LeadershipTransferEnded) {
            mEffects.accept(new ControlEffect.LeadershipTransferEnded());
        } else if (e instanceof ConsensusEffect.VoteHandedOver) {
            mEffects.accept(new ControlEffect.VoteHandedOver());
        } else if (e instanceof ConsensusEffect.MembershipChanged m) {
            mDecisionLogger.replicasChanged(mNow, m.membership(), mEffects);
        }
    }

    private void restore(Snapshot snapshot) {
        mState.restore(mCodec.decodeSnapshot(snapshot.state()));
        mState.departures().all().forEach(mOnDeparture);
    }

    private void onAccepted(long call) {
        if (mPendingMembershipChanges.remove(call)) {
            mEffects.accept(new AnswerMembership(call, mConsensus.membership()));
            return;
        }
        if (isPatchConflict(mPendingCommands.get(call))) {
            mConflictedReplaces.add(call);
            return;
        }
        mDecisionLogger.applied(mNow, mPendingCommands.remove(call), mLastResult, mEffects);
        mEffects.accept(new AnswerCommand(call, mLastResult));
    }

    /**
     * Returns whether a patch was not applied because the current tree was not the one that the
     * patch was made for.
     */
    private boolean isPatchConflict(Command command) {
        return command instanceof Command.ReplaceSettings
                && mLastResult.code() == ResultCode.SETTINGS_CONFLICT;
    }

    private void onRejected(ConsensusEffect.ProposalRejected r) {
        mPendingMembershipChanges.remove(r.proposalId());
        mPendingCommands.remove(r.proposalId());
        answerError(r.proposalId(), r.code(), r.leader());
    }

    private void answerError(long call, ResultCode code, ReplicaId leader) {
        boolean hasNoLeader = code == ResultCode.NOT_LEADER && leader == null;
        ResultCode answerCode = hasNoLeader ? ResultCode.NO_QUORUM : code;
        mEffects.accept(
                new AnswerError(call, answerCode, message(answerCode), mConfig.addressOf(leader)));
    }

    private String message(ResultCode code) {
        return switch (code) {
            case NOT_LEADER -> mConfig.name() + " does not lead";
            case NO_QUORUM -> mConfig.name() + " knows of no leader with a quorum";
            case OUTCOME_UNKNOWN ->
                    "the request may have been accepted; send the same request again";
            case MEMBERSHIP_CHANGE_PENDING ->
                    "another change of the replicas is pending, or the replica has not caught up";
            case BODY_TOO_LARGE ->
                    "the change is larger than the largest command that the log accepts";
            case OVERLOADED -> "the log has no room at the moment";
            default -> code.name();
        };
    }
}
