package org.laurelweir.direct;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.agrona.collections.Long2ObjectHashMap;
import org.laurelweir.resumption.StreamKey;
import org.laurelweir.resumption.StreamOrigin;
import org.laurelweir.resumption.StreamOrigins;

/**
 * Records what began each stream that a caller may go on with. The events of a stream wait until a
 * control instance has the record: if this router is killed right after the first event, another
 * router still learns at which version the stream has to go on.
 *
 * <p>The wait is bounded. After it the events are sent without the confirmation, and if the record
 * never arrives, the caller can't go on elsewhere, but never goes on at a wrong version.
 */
final class OriginRecorder {
    /** Maximum delay of the first event. */
    private static final Duration MAX_WAIT = Duration.ofMillis(60);

    private final StreamOrigins mOrigins;
    private final RequestDecisions mDecisions;
    private final Long2ObjectHashMap<ActiveRequest> mByRecord = new Long2ObjectHashMap<>();
    private long mLastRecord;
    private Instant mNow;
    private Consumer<? super DirectEffect> mEffects;

    /**
     * Creates a recorder.
     *
     * @param origins this router's own records
     */
    OriginRecorder(StreamOrigins origins, RequestDecisions decisions) {
        mOrigins = origins;
        mDecisions = decisions;
    }

    /** Sets the time and the receiver of effects for one step of the reducer. */
    void beginStep(Instant now, Consumer<? super DirectEffect> effects) {
        mNow = now;
        mEffects = effects;
    }

    /** Forwards complete events of a stream, the first ones once the stream is recorded. */
    void forward(ActiveRequest r, byte[] events) {
        if (r.mRequiredVersion == null && mayBeResumed(r)) {
            record(r);
        }
        if (r.mRecord != 0) {
            r.mHeldEvents.writeBytes(events);
        } else {
            emitData(r, events);
        }
    }

    /** Returns whether the caller can name the stream, and an event after which it goes on. */
    private static boolean mayBeResumed(ActiveRequest r) {
        return r.route().isRepeatable()
                && !r.mRequest.id().isEmpty()
                && !r.mFramer.lastId().isEmpty();
    }

    private void record(ActiveRequest r) {
        r.mRequiredVersion = r.mCallVersion;
        StreamOrigin origin = new StreamOrigin(r.mService, r.mCallVersion);
        Duration retention = ResumptionWindow.of(r.route());
        long stream = StreamKey.of(r.mRequest.account(), r.mRequest.id());
        mOrigins.put(mNow, stream, origin, retention);
        r.mRecord = ++mLastRecord;
        r.mRecordDeadline = mNow.plus(MAX_WAIT);
        mByRecord.put(r.mRecord, r);
        mEffects.accept(new DirectEffect.RecordStream(r.mRecord, stream, origin, retention));
    }

    /** Handles the result of a record. */
    void onRecorded(DirectEvent.StreamRecorded e) {
        ActiveRequest r = mByRecord.get(e.record());
        if (r == null) {
            return;
        }
        if (!e.stored()) {
            mEffects.accept(mDecisions.originNotRecorded(r, "no control instance took it", mNow));
        }
        release(r);
    }

    /** Sends the events that wait for a record, if any. */
    void release(ActiveRequest r) {
        if (r.mRecord == 0) {
            return;
        }
        mByRecord.remove(r.mRecord);
        r.mRecord = 0;
        byte[] events = r.mHeldEvents.toByteArray();
        r.mHeldEvents.reset();
        emitData(r, events);
    }

    private void emitData(ActiveRequest r, byte[] events) {
        if (!r.mDetached) {
            mEffects.accept(new DirectEffect.AnswerData(r.mCaller, events));
        }
    }

    /** Drops the events that wait for a record, since their caller has disconnected. */
    void forget(ActiveRequest r) {
        mByRecord.remove(r.mRecord);
        r.mRecord = 0;
    }

    /** Sends the events that have waited long enough. */
    void onTick() {
        mOrigins.expire(mNow);
        if (mByRecord.isEmpty()) {
            return;
        }
        List<ActiveRequest> overdue = new ArrayList<>();
        for (ActiveRequest r : mByRecord.values()) {
            if (!mNow.isBefore(r.mRecordDeadline)) {
                overdue.add(r);
            }
        }
        for (ActiveRequest r : overdue) {
            mEffects.accept(mDecisions.originNotRecorded(r, "not confirmed in time", mNow));
            release(r);
        }
    }
}
