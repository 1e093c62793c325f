package org.laurelweir.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.laurelweir.attempt.AttemptFrame;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.attempt.AttemptState;
import org.laurelweir.attempt.Frame;
import org.laurelweir.attempt.LoadHint;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.ResultCode;

/** A fake sidecar with its engine, reduced to the behaviour that routers can observe. */
final class FakeSidecar {
    /** Marks the end of a stream. Only one stream at a time reads an attempt. */
    static final Frame STREAM_CLOSED = null;

    private static final int CHUNK_BYTES = 16;

    private final String mId;
    private final Random mRandom;
    private final List<Execution> mExecutions;
    private final Map<AttemptId, Attempt> mAttempts = new HashMap<>();
    private long mIncarnation = 1;
    private boolean mFlaky;
    private boolean mBroken;

    /** One run of a call on an engine, with the output that it really produced. */
    record Execution(AttemptRequest request, byte[] output) {}

    FakeSidecar(String id, Random random, List<Execution> executions) {
        mId = id;
        mRandom = random;
        mExecutions = executions;
    }

    private static final class Attempt {
        private AttemptRequest mRequest;
        private Consumer<Frame> mReader = f -> {};
        private Execution mExecution;
        private Frame mFinalFrame;
        private int mSentBytes;
        private boolean mNeverStarts;
    }

    BackendRef ref() {
        return new BackendRef(mId, mIncarnation);
    }

    /** Sets whether the engine fails and the sidecar refuses requests now and then. */
    void setFlaky(boolean flaky) {
        mFlaky = flaky;
    }

    /** Makes the engine fail every request. */
    void breakEngine() {
        mBroken = true;
    }

    void restart() {
        mIncarnation++;
        mAttempts.clear();
    }

    static AttemptFrame frame(AttemptId id, Frame f) {
        return new AttemptFrame(id, LoadHint.UNKNOWN, f);
    }

    void begin(AttemptRequest request, String otherSidecar, Consumer<Frame> reader) {
        if (!request.target().equals(ref())) {
            reader.accept(refused(ResultCode.OTHER_INCARNATION, ""));
            return;
        }
        Attempt existing = mAttempts.get(request.id());
        if (existing != null) {
            ResultCode code =
                    existing.mNeverStarts ? ResultCode.REVOKED : ResultCode.DUPLICATE_ATTEMPT;
            reader.accept(refused(code, ""));
            return;
        }
        if (mFlaky && mRandom.nextInt(4) == 0) {
            boolean isRedirect = mRandom.nextBoolean();
            ResultCode code = isRedirect ? ResultCode.OVERLOADED : ResultCode.DRAINING;
            reader.accept(refused(code, isRedirect ? otherSidecar : ""));
            return;
        }
        Attempt a = new Attempt();
        a.mRequest = request;
        a.mReader = reader;
        mAttempts.put(request.id(), a);
        reader.accept(new Frame.Accepted(1));
    }

    private static Frame refused(ResultCode code, String redirectTo) {
        return new Frame.Refused(code, code.name(), redirectTo, Duration.ZERO);
    }

    void resume(AttemptId id, BackendRef target, long offset, Consumer<Frame> reader) {
        Attempt a = mAttempts.get(id);
        if (!target.equals(ref()) || a == null || a.mNeverStarts) {
            reader.accept(refused(ResultCode.OTHER_INCARNATION, ""));
            return;
        }
        a.mReader.accept(STREAM_CLOSED);
        a.mReader = reader;
        a.mSentBytes = (int) offset;
        if (a.mExecution != null) {
            reader.accept(new Frame.Head(200, List.of()));
        }
        if (a.mFinalFrame != null && !(a.mFinalFrame instanceof Frame.End)) {
            reader.accept(a.mFinalFrame);
        }
    }

    AttemptState revoke(AttemptId id, BackendRef target) {
        if (!target.equals(ref())) {
            return AttemptState.OTHER_INCARNATION;
        }
        Attempt a = mAttempts.computeIfAbsent(id, i -> new Attempt());
        if (a.mExecution == null && a.mFinalFrame == null) {
            a.mNeverStarts = true;
            return AttemptState.NEVER_STARTED;
        }
        return a.mFinalFrame == null ? AttemptState.RUNNING : AttemptState.FINISHED;
    }

    void cancel(AttemptId id) {
        Attempt a = mAttempts.get(id);
        if (a != null && a.mFinalFrame == null) {
            a.mFinalFrame = new Frame.Failed(ResultCode.CANCELLED, "cancelled");
        }
    }

    /** Advances one random attempt that has not ended. */
    void advanceOne() {
        List<Attempt> unfinished = new ArrayList<>();
        for (Attempt a : mAttempts.values()) {
            if (a.mRequest != null
                    && !a.mNeverStarts
                    && (a.mFinalFrame == null || isEndUnsent(a))) {
                unfinished.add(a);
            }
        }
        if (!unfinished.isEmpty()) {
            advance(unfinished.get(mRandom.nextInt(unfinished.size())));
        }
    }

    private static boolean isEndUnsent(Attempt a) {
        return a.mFinalFrame instanceof Frame.End && a.mSentBytes <= a.mExecution.output().length;
    }

    private void advance(Attempt a) {
        if (a.mExecution == null && mFlaky && mRandom.nextInt(8) == 0) {
            a.mNeverStarts = true;
            a.mReader.accept(refused(ResultCode.OVERLOADED, ""));
            return;
        }
        if (a.mExecution == null) {
            start(a);
            return;
        }
        byte[] output = a.mExecution.output();
        if (mBroken || (mFlaky && a.mFinalFrame == null && mRandom.nextInt(40) == 0)) {
            a.mFinalFrame = new Frame.Failed(ResultCode.BACKEND_FAILED, "engine failed");
            a.mReader.accept(a.mFinalFrame);
            return;
        }
        if (a.mSentBytes < output.length) {
            int end = Math.min(output.length, a.mSentBytes + CHUNK_BYTES);
            a.mReader.accept(
                    new Frame.Data(a.mSentBytes, Arrays.copyOfRange(output, a.mSentBytes, end)));
            a.mSentBytes = end;
            return;
        }
        a.mFinalFrame = new Frame.End(output.length, Frame.Usage.NONE);
        a.mReader.accept(a.mFinalFrame);
        a.mSentBytes = output.length + 1;
    }

    private void start(Attempt a) {
        byte[] output =
                new byte[CHUNK_BYTES * (1 + mRandom.nextInt(8)) + mRandom.nextInt(CHUNK_BYTES)];
        mRandom.nextBytes(output);
        a.mExecution = new Execution(a.mRequest, output);
        mExecutions.add(a.mExecution);
        a.mReader.accept(new Frame.Head(200, List.of()));
    }
}
