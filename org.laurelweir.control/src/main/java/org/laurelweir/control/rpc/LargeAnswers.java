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
 * Sends answers, of the large ones only some at the same time. After a start of everything each
 * router asks for all there is at once, and each answer is encoded for its connection and held
 * until its reader has taken it: some hundred of them would fill the heap of an instance that has
 * just started, however small its link. Those beyond the bound wait their turn, and are dropped
 * where their callers have given up. Thread-safe.
 */
final class LargeAnswers {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** A smaller answer is sent at once: a router's view of what changed in a second. */
    static final int LARGE_BYTES = 32 << 10;

    /** Beside the log, which may take a fifth of the heap, and the state. */
    private static final int HEAP_OF_ANSWERS = 16;

    private final long mMostBytes;
    private final Deque<Ticket> mWaiting = new ArrayDeque<>();
    private long mBytes;

    /** Creates the bound of this process's heap. */
    LargeAnswers() {
        this(Runtime.getRuntime().maxMemory() / HEAP_OF_ANSWERS);
    }

    LargeAnswers(long mostBytes) {
        mMostBytes = mostBytes;
    }

    /**
     * Opens the ticket of a call; before the call's method returns, since gRPC takes no handlers
     * later.
     */
    Ticket open(StreamObserver<?> call) {
        Ticket ticket = new Ticket();
        if (call instanceof ServerCallStreamObserver<?> c) {
            c.setOnCloseHandler(ticket::end);
            c.setOnCancelHandler(ticket::end);
        }
        return ticket;
    }

    /** Returns the bytes of the large answers that are on their way. */
    synchronized long bytes() {
        return mBytes;
    }

    private boolean hasRoom(int bytes) {
        return mBytes == 0 || mBytes + bytes <= mMostBytes;
    }

    private List<Ticket> takeDue() {
        List<Ticket> due = new ArrayList<>();
        while (!mWaiting.isEmpty() && hasRoom(mWaiting.peek().mBytes)) {
            Ticket next = mWaiting.remove();
            next.take();
            due.add(next);
        }
        return due;
    }

    /** One call's place among the answers. */
    final class Ticket {
        private Runnable mSend;
        private int mBytes;
        private boolean mTaken;
        private boolean mEnded;

        /**
         * Sends the call's answer, now or when others have been taken by their readers.
         *
         * @param bytes its size
         * @param send sends it; not run where the call has ended meanwhile
         */
        void send(int bytes, Runnable send) {
            if (bytes < LARGE_BYTES || mayGo(bytes, send)) {
                send.run();
            }
        }

        private boolean mayGo(int bytes, Runnable send) {
            synchronized (LargeAnswers.this) {
                mBytes = bytes;
                mSend = send;
                if (mEnded) {
                    return false;
                }
                if (mWaiting.isEmpty() && hasRoom(bytes)) {
                    take();
                    return true;
                }
                mWaiting.add(this);
                sLogger.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
                        "%d large answers wait, %d B are on their way",
                        mWaiting.size(), LargeAnswers.this.mBytes);
                return false;
            }
        }

        private void take() {
            mTaken = true;
            LargeAnswers.this.mBytes += mBytes;
        }

        /** The reader has the answer, or has given up. */
        void end() {
            List<Ticket> due;
            synchronized (LargeAnswers.this) {
                if (mEnded) {
                    return;
                }
                mEnded = true;
                if (mTaken) {
                    LargeAnswers.this.mBytes -= mBytes;
                } else {
                    mWaiting.remove(this);
                }
                due = takeDue();
            }
            due.forEach(t -> t.mSend.run());
        }
    }
}
