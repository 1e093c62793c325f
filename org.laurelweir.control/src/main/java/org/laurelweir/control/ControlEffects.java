package org.laurelweir.control;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.laurelweir.consensus.ConsensusEvent.SnapshotTaken;
import org.laurelweir.control.rpc.PeerCalls;
import org.laurelweir.control.rpc.PendingCalls;
import org.laurelweir.control.storage.LogWriter;
import org.laurelweir.coordination.ControlEffect;
import org.laurelweir.coordination.ControlEvent;
import org.laurelweir.coordination.LogCodec;
import org.laurelweir.runtime.log.DecisionLog;
import org.laurelweir.runtime.process.Program;

/** Carries out the reducer's effects, on its thread; nothing here blocks. */
final class ControlEffects implements Consumer<ControlEffect> {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final PendingCalls mCalls;
    private final PeerCalls mPeers;
    private final LogWriter mLog;
    private final LogCodec mCodec;
    private final Executor mBackground;
    private final Consumer<ControlEvent> mEvents;
    private final ControlMetrics mMetrics;
    private final CompletableFuture<Void> mHandedOver = new CompletableFuture<>();
    private volatile boolean mWritten;

    ControlEffects(
            PendingCalls calls,
            PeerCalls peers,
            LogWriter log,
            LogCodec codec,
            Executor background,
            Consumer<ControlEvent> events,
            ControlMetrics metrics) {
        mCalls = calls;
        mPeers = peers;
        mLog = log;
        mCodec = codec;
        mBackground = background;
        mEvents = events;
        mMetrics = metrics;
    }

    /** Returns whether anything has been given to the disk since the start. */
    boolean hasWritten() {
        return mWritten;
    }

    /** Ends once this instance need not be waited for as a leader; only after it was asked to. */
    CompletableFuture<Void> handedOver() {
        return mHandedOver;
    }

    @Override
    public void accept(ControlEffect e) {
        if (e instanceof ControlEffect.Answer a) {
            mMetrics.answered(a);
            mCalls.answer(a);
        } else if (e instanceof ControlEffect.Persist p) {
            mWritten = true;
            mLog.persist(p.persist());
        } else if (e instanceof ControlEffect.MarkCommitted m) {
            mLog.markCommitted(m.index());
        } else if (e instanceof ControlEffect.SendToReplica s) {
            mPeers.send(s.send());
        } else if (e instanceof ControlEffect.RequestPeerUpdate a) {
            mPeers.ask(a);
        } else if (e instanceof ControlEffect.AnnounceToPeers a) {
            mPeers.announce(a);
        } else if (e instanceof ControlEffect.EncodeSnapshot s) {
            mBackground.execute(() -> encode(s));
        } else if (e instanceof ControlEffect.ReportStatus r) {
            mMetrics.reported(r);
        } else if (e instanceof ControlEffect.LeadershipTransferEnded) {
            mHandedOver.complete(null);
        } else if (e instanceof ControlEffect.LogDecision d) {
            DecisionLog.write(d.decision());
        }
    }

    /**
     * Off the reducer's thread: a large state would keep heartbeats waiting. The executor would
     * keep a failure to itself, and the log would grow without another snapshot until the heap is
     * full.
     */
    private void encode(ControlEffect.EncodeSnapshot s) {
        try {
            byte[] state = mCodec.encode(s.snapshot());
            sLogger.atInfo().log("snapshot at %d taken: %d B", s.index(), state.length);
            mEvents.accept(new ControlEvent.ReplicaEvent(new SnapshotTaken(s.index(), state)));
        } catch (RuntimeException | Error e) {
            Program.fail("the state can't be encoded", e);
        }
    }
}
