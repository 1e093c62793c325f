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

/** A sidecar with its engine, reduced to what routers can tell apart. */
final class FakeSidecar {
    /** Stands for the end of a stream: one stream at a time follows an attempt. */
    static final Frame CLOSED = null;

    private static final int CHUNK = 16;

    private final String mId;
    private final Random mRandom;
    private final List<Execution> mExecutions;
    private final Map<AttemptId, Attempt> mAttempts = new HashMap<>();
    private long mIncarnation = 1;
    private boolean mTroubled;
    private boolean mBroken;

    /** One run of a call on an engine: what really happened. */
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
        private Frame mLast;
        private int mSent;
        private boolean mNeverStarts;
    }

    BackendRef ref() {
        return new BackendRef(mId, mIncarnation);
    }

    /** Whether engines fail and sidecars refuse now and then. */
    void setTroubled(boolean troubled) {
        mTroubled = troubled;
    }

    /** Has the engine fail everything that it begins. */
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

    void begin(AttemptRequest request, String other, Consumer<Frame> reader) {
        if (!request.target().equals(ref())) {
            reader.accept(refused(ResultCode.OTHER_INCARNATION, ""));
            return;
        }
        Attempt known = mAttempts.get(request.id());
        if (known != null) {
            ResultCode code =
                    known.mNeverStarts ? ResultCode.REVOKED : ResultCode.DUPLICATE_ATTEMPT;
            reader.accept(refused(code, ""));
            return;
        }
        if (mTroubled && mRandom.nextInt(4) == 0) {
            boolean redirects = mRandom.nextBoolean();
            ResultCode code = redirects ? ResultCode.OVERLOADED : ResultCode.DRAINING;
            reader.accept(refused(code, redirects ? other : ""));
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
        a.mReader.accept(CLOSED);
        a.mReader = reader;
        a.mSent = (int) offset;
        if (a.mExecution != null) {
            reader.accept(new Frame.Head(200, List.of()));
        }
        if (a.mLast != null && !(a.mLast instanceof Frame.End)) {
            reader.accept(a.mLast);
        }
    }

    AttemptState revoke(AttemptId id, BackendRef target) {
        if (!target.equals(ref())) {
            return AttemptState.OTHER_INCARNATION;
        }
        Attempt a = mAttempts.computeIfAbsent(id, i -> new Attempt());
        if (a.mExecution == null && a.mLast == null) {
            a.mNeverStarts = true;
            return AttemptState.NEVER_STARTED;
        }
        return a.mLast == null ? AttemptState.RUNNING : AttemptState.FINISHED;
    }

    void cancel(AttemptId id) {
        Attempt a = mAttempts.get(id);
        if (a != null && a.mLast == null) {
            a.mLast = new Frame.Failed(ResultCode.CANCELLED, "cancelled");
        }
    }

    /** Goes on with one attempt that is not over. */
    void work() {
        List<Attempt> open = new ArrayList<>();
        for (Attempt a : mAttempts.values()) {
            if (a.mRequest != null && !a.mNeverStarts && (a.mLast == null || isUnsent(a))) {
                open.add(a);
            }
        }
        if (!open.isEmpty()) {
            advance(open.get(mRandom.nextInt(open.size())));
        }
    }

    private static boolean isUnsent(Attempt a) {
        return a.mLast instanceof Frame.End && a.mSent <= a.mExecution.output().length;
    }

    private void advance(Attempt a) {
        if (a.mExecution == null && mTroubled && mRandom.nextInt(8) == 0) {
            a.mNeverStarts = true;
            a.mReader.accept(refused(ResultCode.OVERLOADED, ""));
            return;
        }
        if (a.mExecution == null) {
            start(a);
            return;
        }
        byte[] output = a.mExecution.output();
        if (mBroken || (mTroubled && a.mLast == null && mRandom.nextInt(40) == 0)) {
            a.mLast = new Frame.Failed(ResultCode.BACKEND_FAILED, "engine failed");
            a.mReader.accept(a.mLast);
            return;
        }
        if (a.mSent < output.length) {
            int end = Math.min(output.length, a.mSent + CHUNK);
            a.mReader.accept(new Frame.Data(a.mSent, Arrays.copyOfRange(output, a.mSent, end)));
            a.mSent = end;
            return;
        }
        a.mLast = new Frame.End(output.length, Frame.Usage.NONE);
        a.mReader.accept(a.mLast);
        a.mSent = output.length + 1;
    }

    private void start(Attempt a) {
        byte[] output = new byte[CHUNK * (1 + mRandom.nextInt(8)) + mRandom.nextInt(CHUNK)];
        mRandom.nextBytes(output);
        a.mExecution = new Execution(a.mRequest, output);
        mExecutions.add(a.mExecution);
        a.mReader.accept(new Frame.Head(200, List.of()));
    }
}
