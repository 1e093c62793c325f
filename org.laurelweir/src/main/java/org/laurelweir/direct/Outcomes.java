package org.laurelweir.direct;

import java.time.Instant;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.load.LoadEstimator;

/**
 * Learns from the outcomes of calls: which backend servers fail, are full or gone, which requests
 * they served, and what they have cached. Whatever counts as a success is learnt here, at the end
 * of the answer and only if the server told that end or has shown since that it lives.
 */
final class Outcomes {
    private final ServerTable mServers;
    private final ServerChoice mChoice;
    private final LoadEstimator mLoads;
    private final PartHolders mHolders;
    private final CrashGuard mCrashGuard;
    private final UnconfirmedEnds mUnconfirmedEnds;
    private final InvalidAnswerCalls mInvalidAnswers;
    private final ContendedCalls mContended;
    private Instant mNow;

    Outcomes(
            ServerTable servers,
            ServerChoice choice,
            LoadEstimator loads,
            PartHolders holders,
            CrashGuard crashGuard,
            UnconfirmedEnds unconfirmedEnds,
            InvalidAnswerCalls invalidAnswers,
            ContendedCalls contended) {
        mServers = servers;
        mChoice = choice;
        mLoads = loads;
        mHolders = holders;
        mCrashGuard = crashGuard;
        mUnconfirmedEnds = unconfirmedEnds;
        mInvalidAnswers = invalidAnswers;
        mContended = contended;
    }

    /** Sets the time for one step of the reducer. */
    void beginStep(Instant now) {
        mNow = now;
    }

    void onReportedLoad(BackendRef backend, AnswerMetadata.ReportedLoad load) {
        mServers.onReportedSlots(backend, load.slots());
        mLoads.onReportedLoad(mNow, backend, load.running() + load.waiting());
        mContended.onWorkTime(backend, load.workTimePercent(), mNow);
    }

    /** Records the head of an answer that belongs to its request: the server lives. */
    void onHead(ActiveRequest r) {
        onHead(r.mBackend, r.mCallStart);
    }

    /** Records the head of an answer to a call that was started at a time: the server lives. */
    void onHead(BackendRef server, Instant callStart) {
        mServers.onAlive(server, callStart);
        mCrashGuard.onHeadReceived(server, callStart, mNow);
        mUnconfirmedEnds.onAnswer(server, callStart);
    }

    /** Records that the server has read the prompt of a request. */
    void onPromptRead(ActiveRequest r) {
        if (!r.mRequest.prompt().isPresent()) {
            return;
        }
        mHolders.recordHolder(r.sharedPartId(), r.mBackend, mNow);
        if (r.mRequest.terms().contended()) {
            r.sharedPartIds().forEach(id -> mHolders.recordHolder(id, r.mBackend, mNow));
        }
    }

    /** Records that data of the answer has arrived, and may have completed an event. */
    void onData(ActiveRequest r) {
        mServers.onAlive(r.mBackend, r.mCallStart);
        mContended.onData(r, mNow);
    }

    /** Records a successful answer that ended and is not known to be cut. */
    void onSuccess(ActiveRequest r) {
        mContended.onSuccess(r, mNow);
        if (r.mFraming.provesEnd()) {
            mServers.onSuccess(r.mService, r.mBackend);
            mCrashGuard.onServed(r.summary(), mNow);
            mInvalidAnswers.onServed(r);
        } else {
            mUnconfirmedEnds.onAnswerEnded(r, r.mBackend);
        }
    }

    /** Records that the server failed, broke off or stayed silent. */
    void onFailure(ActiveRequest r) {
        onFailure(r, r.mBackend);
    }

    /** Records that one of the servers of a request failed, broke off or stayed silent. */
    void onFailure(ActiveRequest r, BackendRef server) {
        mServers.onFailure(r.mService, server, servingCount(r), mNow);
        mContended.onFailure(r, server, mNow);
    }

    /** Records that no connection to the server could be opened. */
    void onUnreachable(ActiveRequest r) {
        onUnreachable(r, r.mBackend);
    }

    /** Records that no connection to one of the servers of a request could be opened. */
    void onUnreachable(ActiveRequest r, BackendRef server) {
        mServers.onUnreachable(r.mService, server, servingCount(r), mNow);
        mContended.onFailure(r, server, mNow);
    }

    /**
     * Records that a server closed the connection of a call, or accepted none: it may have crashed.
     */
    void onConnectionLost(BackendRef server) {
        mServers.onConnectionLost(server, mNow);
    }

    /** Records that the server is full, or that another server answered at its address. */
    void onNotRun(BackendRef server, boolean misdirected) {
        if (misdirected) {
            mServers.onReplaced(server, mNow);
        } else {
            mServers.onFull(server, mNow);
        }
    }

    private int servingCount(ActiveRequest r) {
        return mChoice.servingCount(r.mService);
    }
}
