package org.laurelweir.control;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.laurelweir.consensus.ConsensusEvent.SnapshotTaken;
import org.laurelweir.control.rpc.PeerCalls;
import org.laurelweir.control.rpc.PendingCalls;
import org.laurelweir.control.storage.LogWriter;
import org.laurelweir.control.storage.StreamRecordWriter;
import org.laurelweir.coordination.ControlEffect;
import org.laurelweir.coordination.ControlEvent;
import org.laurelweir.coordination.LogCodec;
import org.laurelweir.runtime.log.DecisionLog;
import org.laurelweir.runtime.process.Program;

/** Executes the reducer's effects on the reducer's thread. Nothing here blocks. */
final class ControlEffects implements Consumer<ControlEffect> {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final PendingCalls mCalls;
    private final PeerCalls mPeers;
    private final LogWriter mLogWriter;
    private final StreamRecordWriter mStreamRecords;
    private final LogCodec mCodec;
    private final Executor mBackground;
    private final Consumer<ControlEvent> mEvents;
    private final ControlMetrics mMetrics;
    private final CompletableFuture<Void> mLeadershipTransferEnded = new CompletableFuture<>();
    private final CompletableFuture<Void> mVoteHandedOver = new CompletableFuture<>();
    private volatile boolean mHasWritten;

    ControlEffects(
            PendingCalls calls,
            PeerCalls peers,
            LogWriter log,
            StreamRecordWriter streamRecords,
            LogCodec codec,
            Executor background,
            Consumer<ControlEvent> events,
            ControlMetrics metrics) {
        mCalls = calls;
        mPeers = peers;
        mLogWriter = log;
        mStreamRecords = streamRecords;
        mCodec = codec;
        mBackground = background;
        mEvents = events;
        mMetrics = metrics;
    }

    /** Returns whether any effect has been passed to the log writer since the start. */
    boolean hasWritten() {
        return mHasWritten;
    }

    /**
     * Returns a future that completes when a requested leadership transfer has ended, or none was
     * needed. Only meaningful after the transfer was requested.
     */
    CompletableFuture<Void> leadershipTransferEnded() {
        return mLeadershipTransferEnded;
    }

    /**
     * Returns a future that completes when this instance has no vote any more, or no other one
     * could vote in its place. Only meaningful after {@link
     * org.laurelweir.consensus.ConsensusEvent.Leaving}.
     */
    CompletableFuture<Void> voteHandedOver() {
        return mVoteHandedOver;
    }

    @Override
    public void accept(ControlEffect e) {
        if (e instanceof ControlEffect.Answer a) {
            mMetrics.onAnswer(a);
            mCalls.answer(a);
        } else if (e instanceof ControlEffect.Persist p) {
            mHasWritten = true;
            mLogWriter.persist(p.persist());
        } else if (e instanceof ControlEffect.MarkCommitted m) {
            mLogWriter.markCommitted(m.index());
        } else if (e instanceof ControlEffect.KeepStreamRecord k) {
            mStreamRecords.keep(k.call(), k.record());
        } else if (e instanceof ControlEffect.SendToReplica s) {
            mPeers.send(s.send());
        } else if (e instanceof ControlEffect.RequestPeerUpdate a) {
            mPeers.requestUpdate(a);
        } else if (e instanceof ControlEffect.AnnounceToPeers a) {
            mPeers.announce(a);
        } else if (e instanceof ControlEffect.EncodeSnapshot s) {
            mBackground.execute(() -> encode(s));
        } else if (e instanceof ControlEffect.ReportStatus r) {
            mMetrics.onReport(r);
        } else if (e instanceof ControlEffect.LeadershipTransferEnded) {
            mLeadershipTransferEnded.complete(null);
        } else if (e instanceof ControlEffect.VoteHandedOver) {
            mVoteHandedOver.complete(null);
        } else if (e instanceof ControlEffect.LogDecision d) {
            DecisionLog.write(d.decision());
        } else if (e instanceof ControlEffect.LogWarning d) {
            DecisionLog.writeWarning(d.decision());
        }
    }

    /**
     * Encodes a snapshot on the background executor, since encoding a large state would delay
     * heartbeats. The executor does not report failures, and without snapshots the log would grow
     * until the heap is full, so a failure ends the process.
     */
    private void encode(ControlEffect.EncodeSnapshot s) {
        try {
            byte[] state = mCodec.encode(s.snapshot());
            sLogger.atInfo().log("snapshot at %d taken: %d B", s.index(), state.length);
            mEvents.accept(new ControlEvent.ReplicaEvent(new SnapshotTaken(s.index(), state)));
        } catch (RuntimeException | Error e) {
            Program.logAndHalt("the state can't be encoded for a snapshot", e);
        }
    }
}
