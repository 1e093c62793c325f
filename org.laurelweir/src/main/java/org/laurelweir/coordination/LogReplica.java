package org.laurelweir.coordination;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
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

/**
 * The replica of the log together with the state machine that it feeds: takes commands to their
 * results, reads to their moment, and snapshots in and out.
 */
final class LogReplica {
    private final ControlConfig mConfig;
    private final LogCodec mCodec;
    private final ControlState mState;
    private final ConsensusReducer mAgreement;
    private final Freshness mFreshness;
    private final DecisionNotes mNotes;
    private final Map<Long, Command> mCommands = new HashMap<>();
    private final Set<Long> mMemberChanges = new HashSet<>();
    private final Map<Long, Runnable> mReads = new HashMap<>();

    /** Whole trees whose difference came too late. */
    private final Queue<Long> mOvertaken = new ArrayDeque<>();

    private Instant mNow;
    private Consumer<? super ControlEffect> mEffects;
    private CommandResult mLastResult;

    LogReplica(ControlConfig config, LogCodec codec, long seed, DecisionNotes notes) {
        mConfig = config;
        mCodec = codec;
        mState = new ControlState(config.limits());
        mAgreement = new ConsensusReducer(config.replica(), config.consensus(), seed);
        mFreshness = new Freshness(mAgreement, config.staleAfter());
        mNotes = notes;
    }

    /** Returns the state as applied; not to be changed. */
    ControlState state() {
        return mState;
    }

    boolean isPossiblyStale(Instant now) {
        return mFreshness.isPossiblyStale(now);
    }

    ControlInstanceStatus presence(Instant now) {
        return new ControlInstanceStatus(
                mConfig.replica(),
                mConfig.address(),
                leads(),
                mAgreement.term(),
                mAgreement.commitIndex(),
                isPossiblyStale(now),
                mAgreement.membership());
    }

    boolean leads() {
        return mAgreement.role() == Role.LEADER;
    }

    /** Returns the bytes of the log's entries in memory. */
    long logBytes() {
        return mAgreement.logBytes();
    }

    /** Returns the bytes of the last snapshot's state. */
    long snapshotBytes() {
        return mAgreement.snapshotBytes();
    }

    Membership members() {
        return mAgreement.membership();
    }

    void step(Instant now, ConsensusEvent event, Consumer<? super ControlEffect> effects) {
        mNow = now;
        mEffects = effects;
        if (event instanceof ConsensusEvent.Recovered r && r.snapshot().index() > 0) {
            restore(r.snapshot());
        }
        mAgreement.step(now, event, this::take);
        proposeWholeTrees();
        if (event instanceof ConsensusEvent.MessageReceived m) {
            mFreshness.received(now, m);
        }
    }

    /** Takes a command to its result, unless this replica does not lead. */
    void propose(Instant now, long call, Command command, Consumer<? super ControlEffect> out) {
        // Files hold milliseconds; all replicas have to apply the same instant.
        Command stamped = command.withTimestamp(Instant.ofEpochMilli(now.toEpochMilli()));
        mCommands.put(call, stamped);
        step(now, new ConsensusEvent.Proposed(call, encode(stamped)), out);
    }

    /** A whole tree goes into the log as what changes, where it is small enough to be taken. */
    private byte[] encode(Command command) {
        byte[] encoded = mCodec.encode(command);
        boolean fits = encoded.length <= mConfig.consensus().logLimits().maxCommandBytes();
        if (!fits || !leads() || !(command instanceof Command.ReplaceSettings whole)) {
            return encoded;
        }
        byte[] patch = mCodec.encode(mState.settings().patchTo(whole));
        return patch.length < encoded.length ? patch : encoded;
    }

    /** After the step that told of them: the agreement takes one event at a time. */
    private void proposeWholeTrees() {
        while (!mOvertaken.isEmpty()) {
            long call = mOvertaken.remove();
            byte[] whole = mCodec.encode(mCommands.get(call));
            mAgreement.step(mNow, new ConsensusEvent.Proposed(call, whole), this::take);
        }
    }

    void change(Instant now, long call, MembershipChange c, Consumer<? super ControlEffect> out) {
        mMemberChanges.add(call);
        step(now, new ConsensusEvent.MembershipChangeProposed(call, c), out);
    }

    /** Runs a read once the state is at least as new as any write that ended before. */
    void read(Instant now, long call, Runnable read, Consumer<? super ControlEffect> out) {
        mReads.put(call, read);
        step(now, new ConsensusEvent.ReadRequested(call), out);
    }

    private void take(ConsensusEffect e) {
        if (e instanceof ConsensusEffect.Send s) {
            mEffects.accept(new ControlEffect.SendToReplica(s));
        } else if (e instanceof ConsensusEffect.Persist p) {
            mEffects.accept(new ControlEffect.Persist(p));
        } else if (e instanceof ConsensusEffect.MarkCommitted m) {
            mEffects.accept(new ControlEffect.MarkCommitted(m.index()));
        } else if (e instanceof ConsensusEffect.Apply a) {
            mLastResult = mState.apply(a.index(), mCodec.decodeCommand(a.command()));
        } else if (e instanceof ConsensusEffect.ProposalAccepted a) {
            accepted(a.proposalId());
        } else if (e instanceof ConsensusEffect.ProposalRejected r) {
            rejected(r);
        } else if (e instanceof ConsensusEffect.ReadReady r) {
            mReads.remove(r.readId()).run();
        } else if (e instanceof ConsensusEffect.ReadRejected r) {
            mReads.remove(r.readId());
            refuse(r.readId(), r.code(), r.leader());
        } else {
            takeRest(e);
        }
    }

    private void takeRest(ConsensusEffect e) {
        if (e instanceof ConsensusEffect.TakeSnapshot t) {
            mEffects.accept(new EncodeSnapshot(t.index(), mState.snapshot()));
        } else if (e instanceof ConsensusEffect.InstallSnapshot i) {
            restore(i.snapshot());
        } else if (e instanceof ConsensusEffect.RoleChanged r) {
            mFreshness.roleChanged(r.role());
            mNotes.roleChanged(mNow, r, mEffects);
        } else if (e instanceof ConsensusEffect.LeadershipTransferEnded) {
            mEffects.accept(new ControlEffect.LeadershipTransferEnded());
        } else if (e instanceof ConsensusEffect.MembershipChanged m) {
            mNotes.replicasChanged(mNow, m.membership(), mEffects);
        }
    }

    private void restore(Snapshot snapshot) {
        mState.restore(mCodec.decodeSnapshot(snapshot.state()));
    }

    private void accepted(long call) {
        if (mMemberChanges.remove(call)) {
            mEffects.accept(new AnswerMembership(call, mAgreement.membership()));
            return;
        }
        if (isOvertaken(mCommands.get(call))) {
            mOvertaken.add(call);
            return;
        }
        mNotes.applied(mNow, mCommands.remove(call), mLastResult, mEffects);
        mEffects.accept(new AnswerCommand(call, mLastResult));
    }

    /**
     * Returns whether the tree in force was another one than the one that the log's patch needs.
     */
    private boolean isOvertaken(Command command) {
        return command instanceof Command.ReplaceSettings
                && mLastResult.code() == ResultCode.SETTINGS_CONFLICT;
    }

    private void rejected(ConsensusEffect.ProposalRejected r) {
        mMemberChanges.remove(r.proposalId());
        mCommands.remove(r.proposalId());
        refuse(r.proposalId(), r.code(), r.leader());
    }

    private void refuse(long call, ResultCode code, ReplicaId leader) {
        boolean leaderless = code == ResultCode.NOT_LEADER && leader == null;
        ResultCode told = leaderless ? ResultCode.NO_QUORUM : code;
        mEffects.accept(new AnswerError(call, told, message(told), mConfig.addressOf(leader)));
    }

    private String message(ResultCode code) {
        return switch (code) {
            case NOT_LEADER -> mConfig.name() + " does not lead";
            case NO_QUORUM -> mConfig.name() + " knows of no leader with a quorum";
            case OUTCOME_UNKNOWN -> "it may have been accepted; send the same again";
            case MEMBERSHIP_CHANGE_PENDING ->
                    "another change of replicas is under way, or the replica has not caught up";
            case BODY_TOO_LARGE -> "the change is larger than the log of this instance takes";
            case OVERLOADED -> "the log has no room at the moment";
            default -> code.name();
        };
    }
}
