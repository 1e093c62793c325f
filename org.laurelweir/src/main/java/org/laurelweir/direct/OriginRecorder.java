package org.laurelweir.direct;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.agrona.collections.Long2ObjectHashMap;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.DirectAnnouncements;
import org.laurelweir.resumption.BackendRun;
import org.laurelweir.resumption.StreamKey;
import org.laurelweir.resumption.StreamOrigin;
import org.laurelweir.resumption.StreamOrigins;

/**
 * Records what began each stream that a caller may go on with. The first events of a call wait
 * until a control instance has the record: if this router is killed right after the first event,
 * another router still learns at which version the stream has to go on.
 *
 * <p>The wait is bounded. After it a new stream's events are sent without the confirmation, and if
 * the record never arrives, the caller can't go on elsewhere, but never goes on at a wrong version.
 *
 * <p>Where a backend server may start anew under its name, the record also finds out whether the
 * server is still the run that this router knows: a later one with another version answers like the
 * earlier one. Until that is confirmed, no stream goes on there, and none that began there goes on.
 */
final class OriginRecorder {
    /** Maximum delay of the first event of a new stream. */
    private static final Duration MAX_WAIT = Duration.ofMillis(60);

    /** Maximum delay of the first event where a stream goes on; without confirmation it is cut. */
    private static final Duration MAX_WAIT_TO_GO_ON = Duration.ofMillis(400);

    private final BackendSource mBackends;
    private final StreamOrigins mOrigins;
    private final RequestDecisions mDecisions;
    private final Consumer<ActiveRequest> mOnWrongVersion;
    private final Long2ObjectHashMap<ActiveRequest> mByRecord = new Long2ObjectHashMap<>();
    private long mLastRecord;
    private Instant mNow;
    private Consumer<? super DirectEffect> mEffects;

    /**
     * Creates a recorder.
     *
     * @param origins this router's own records
     * @param onWrongVersion receives each request whose stream goes on at another version than the
     *     one that began it, or may do so; the events that wait are dropped
     */
    OriginRecorder(
            BackendSource backends,
            StreamOrigins origins,
            RequestDecisions decisions,
            Consumer<ActiveRequest> onWrongVersion) {
        mBackends = backends;
        mOrigins = origins;
        mDecisions = decisions;
        mOnWrongVersion = onWrongVersion;
    }

    /** Sets the time and the receiver of effects for one step of the reducer. */
    void beginStep(Instant now, Consumer<? super DirectEffect> effects) {
        mNow = now;
        mEffects = effects;
    }

    /** Forwards complete events of a stream, the first ones of a call once they are confirmed. */
    void forward(ActiveRequest r, byte[] events) {
        // Blocks of comments only are of no version.
        if (r.mRequiredVersion == null && r.mFramer.eventCount() > 0) {
            r.mRequiredVersion = r.mCallVersion;
            r.mOriginCall = r.mCall;
        }
        if (r.mConfirmedCall != r.mCall && needsRecord(r)) {
            r.mConfirmedCall = r.mCall;
            r.mIsHolding = true;
            r.mHoldDeadline = mNow.plus(isNewStream(r) ? MAX_WAIT : MAX_WAIT_TO_GO_ON);
            record(r, false);
        }
        if (r.mIsHolding) {
            r.mHeldEvents.writeBytes(events);
        } else {
            emitData(r, events);
        }
    }

    private static boolean needsRecord(ActiveRequest r) {
        return mayBeResumed(r) && (isNewStream(r) || mayReturnWithAnotherVersion(r));
    }

    /** Returns whether the current call brought the first event of the stream. */
    private static boolean isNewStream(ActiveRequest r) {
        return r.mCall == r.mOriginCall;
    }

    /**
     * Returns whether a later run of the server may answer under the same name. Servers that tell
     * no start time have a new name after each start.
     */
    private static boolean mayReturnWithAnotherVersion(ActiveRequest r) {
        return r.mCallRun.incarnation() != DirectAnnouncements.NO_START_TIME;
    }

    /** Returns whether the caller can name the stream, and an event after which it goes on. */
    private static boolean mayBeResumed(ActiveRequest r) {
        return r.route().isRepeatable()
                && !firstRequestOf(r).isEmpty()
                && !r.mFramer.lastId().isEmpty();
    }

    /** Returns the id of the request that brought the first event of the stream, or empty. */
    private static String firstRequestOf(ActiveRequest r) {
        Resumption resumption = r.mRequest.resumption();
        return resumption.isRequested() ? resumption.firstRequest() : r.mRequest.id();
    }

    private static long streamOf(ActiveRequest r) {
        return StreamKey.of(r.mRequest.account(), firstRequestOf(r));
    }

    private static StreamOrigin originOf(ActiveRequest r) {
        return new StreamOrigin(r.mService, r.mRequiredVersion);
    }

    private void record(ActiveRequest r, boolean isVoid) {
        long record = ++mLastRecord;
        if (!isVoid) {
            mByRecord.remove(r.mRecord);
            r.mRecord = record;
            mByRecord.put(record, r);
        }
        mEffects.accept(
                new DirectEffect.RecordStream(
                        record,
                        streamOf(r),
                        originOf(r),
                        r.mCallRun,
                        ResumptionWindow.of(r.route()),
                        isVoid));
    }

    /** Handles the result of a record. */
    void onRecorded(DirectEvent.StreamRecorded e) {
        ActiveRequest r = mByRecord.remove(e.record());
        if (r == null) {
            return;
        }
        r.mRecord = 0;
        if (e.laterRun().isPresent()) {
            r.mMayGoOn = false;
            onLaterRunTold(r, e.laterRun().get());
        } else if (e.stored()) {
            r.mMayGoOn = true;
            remember(r);
            flush(r);
        } else {
            onUnconfirmed(r, "no control instance took it");
        }
    }

    /** Handles that control refused a record. Only for the current call anything can be mended. */
    private void onLaterRunTold(ActiveRequest r, BackendRun run) {
        if (r.mCall != 0 && r.mCall == r.mConfirmedCall) {
            onLaterRun(r, run);
        }
    }

    /** Handles events that have waited in vain. The record may still be confirmed. */
    private void onUnconfirmed(ActiveRequest r, String why) {
        if (!r.mIsHolding) {
            return;
        }
        mEffects.accept(mDecisions.originNotRecorded(r, why, mNow));
        if (!release(r)) {
            mOnWrongVersion.accept(r);
        }
    }

    /**
     * Sends the events that wait, if any, since the call or the wait is over.
     *
     * @return whether the request may be answered further; false if its events may be of another
     *     version than the stream, and are dropped. The request is not repeatable then
     */
    boolean release(ActiveRequest r) {
        if (!r.mIsHolding) {
            return true;
        }
        if (!mayReturnWithAnotherVersion(r)) {
            remember(r);
            flush(r);
            return true;
        }
        r.mMayGoOn = false;
        if (isNewStream(r)) {
            flush(r);
            return true;
        }
        forget(r);
        return false;
    }

    private void flush(ActiveRequest r) {
        if (r.mIsHolding) {
            r.mIsHolding = false;
            byte[] events = r.mHeldEvents.toByteArray();
            r.mHeldEvents.reset();
            emitData(r, events);
        }
    }

    private void emitData(ActiveRequest r, byte[] events) {
        if (!r.mDetached) {
            mEffects.accept(new DirectEffect.AnswerData(r.mCaller, events));
        }
    }

    /** Records the origin in this router's own memory. */
    private void remember(ActiveRequest r) {
        mOrigins.put(mNow, streamOf(r), originOf(r), ResumptionWindow.of(r.route()));
    }

    /** Drops the events that wait, if any, and the record that they wait for. */
    void forget(ActiveRequest r) {
        mByRecord.remove(r.mRecord);
        r.mRecord = 0;
        r.mIsHolding = false;
        r.mHeldEvents.reset();
    }

    /**
     * Compares the server of a stream with what this router has learned since the call began. The
     * earlier run has ended with its connections, so a call that lives is answered by the later.
     */
    void checkRun(ActiveRequest r) {
        if (r.mCall == 0 || r.mRequiredVersion == null) {
            return;
        }
        Backend b = mBackends.backend(r.mCallRun.id());
        if (b != null && b.ref().incarnation() > r.mCallRun.incarnation()) {
            onLaterRun(r, new BackendRun(b.ref(), b.version()));
        }
    }

    /** Handles that a later run of the server than the one meant answers a call. */
    private void onLaterRun(ActiveRequest r, BackendRun run) {
        r.mCallRun = run.ref();
        r.mCallVersion = run.version();
        boolean isOtherVersion = !run.version().equals(r.mRequiredVersion);
        if (isOtherVersion) {
            mEffects.accept(mDecisions.laterRunAnswers(r, mNow));
        }
        if (isOtherVersion && !isNewStream(r)) {
            forget(r);
            mOnWrongVersion.accept(r);
        } else if (r.mIsHolding) {
            r.mRequiredVersion = run.version();
            record(r, false);
        } else if (isOtherVersion && r.mConfirmedCall == r.mCall) {
            r.mRequiredVersion = run.version();
            remember(r);
            record(r, true);
        }
    }

    /** Ends the waits that are over. */
    void onTick() {
        mOrigins.expire(mNow);
        List<ActiveRequest> overdue = new ArrayList<>();
        for (ActiveRequest r : mByRecord.values()) {
            if (r.mIsHolding && !mNow.isBefore(r.mHoldDeadline)) {
                overdue.add(r);
            }
        }
        overdue.forEach(r -> onUnconfirmed(r, "not confirmed in time"));
    }
}
