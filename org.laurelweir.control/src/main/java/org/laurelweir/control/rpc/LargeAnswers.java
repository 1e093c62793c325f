package org.laurelweir.control.rpc;

import com.google.common.flogger.FluentLogger;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Sends answers and limits the total size of large answers that are being sent. When all instances
 * start at once, each router asks for the whole state at the same time. Each answer is encoded for
 * its connection and held until its reader has received it; a few hundred of them would fill the
 * heap of an instance that has just started, however slow its link is. Answers above the limit wait
 * in a queue, and are dropped if their callers cancel. Thread-safe.
 */
final class LargeAnswers {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** Smaller answers are sent at once, such as a router's changes of one second. */
    static final int LARGE_BYTES = 32 << 10;

    /**
     * Large answers may take this fraction of the heap, next to the log, which may take a fifth of
     * it, and the state.
     */
    private static final int HEAP_DIVISOR = 16;

    private final long mMaxBytes;
    private final Deque<PendingAnswer> mWaiting = new ArrayDeque<>();
    private long mBytesInFlight;

    /** Creates a limit of a sixteenth of this process's maximum heap. */
    LargeAnswers() {
        this(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    }

    LargeAnswers(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /**
     * Registers a call. Must run before the call's method returns, since gRPC accepts no handlers
     * later.
     */
    PendingAnswer open(StreamObserver<?> call) {
        PendingAnswer pending = new PendingAnswer();
        if (call instanceof ServerCallStreamObserver<?> c) {
            c.setOnCloseHandler(pending::end);
            c.setOnCancelHandler(pending::end);
        }
        return pending;
    }

    /** Returns the total size of the large answers that are being sent. */
    synchronized long bytesInFlight() {
        return mBytesInFlight;
    }

    private boolean hasRoom(int bytes) {
        return mBytesInFlight == 0 || mBytesInFlight + bytes <= mMaxBytes;
    }

    private List<PendingAnswer> takeReady() {
        List<PendingAnswer> ready = new ArrayList<>();
        while (!mWaiting.isEmpty() && hasRoom(mWaiting.peek().mBytes)) {
            PendingAnswer next = mWaiting.remove();
            next.reserve();
            ready.add(next);
        }
        return ready;
    }

    /** The answer of one call: not yet sent, queued, being sent, or ended. */
    final class PendingAnswer {
        private Runnable mSend;
        private int mBytes;
        private boolean mReserved;
        private boolean mEnded;

        /**
         * Sends the call's answer at once, or when enough earlier answers have ended.
         *
         * @param bytes size of the answer
         * @param send sends the answer; not run if the call has ended
         */
        void send(int bytes, Runnable send) {
            if (bytes < LARGE_BYTES || reserveOrQueue(bytes, send)) {
                send.run();
            }
        }

        private boolean reserveOrQueue(int bytes, Runnable send) {
            synchronized (LargeAnswers.this) {
                mBytes = bytes;
                mSend = send;
                if (mEnded) {
                    return false;
                }
                if (mWaiting.isEmpty() && hasRoom(bytes)) {
                    reserve();
                    return true;
                }
                mWaiting.add(this);
                sLogger.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
                        "%d large answers wait, %d B are on their way",
                        mWaiting.size(), LargeAnswers.this.mBytesInFlight);
                return false;
            }
        }

        private void reserve() {
            mReserved = true;
            LargeAnswers.this.mBytesInFlight += mBytes;
        }

        /** Ends the call: the reader has received the answer or has cancelled the call. */
        void end() {
            List<PendingAnswer> ready;
            synchronized (LargeAnswers.this) {
                if (mEnded) {
                    return;
                }
                mEnded = true;
                if (mReserved) {
                    LargeAnswers.this.mBytesInFlight -= mBytes;
                } else {
                    mWaiting.remove(this);
                }
                ready = takeReady();
            }
            ready.forEach(t -> t.mSend.run());
        }
    }
}
