package org.laurelweir.runtime.log;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;

/**
 * Passes log lines to a writer thread, so that a logging thread never waits for the reader of the
 * log. If the reader is too slow, lines are dropped: ordinary lines first, warnings and errors only
 * when the queue is full. A line in the log gives the number of dropped lines.
 */
final class LogQueue {
    /** Holds a few seconds of a busy program's lines, a few MB. */
    private static final int CAPACITY = 8192;

    /** From this length on, the queue accepts only warnings and errors. */
    private static final int ORDINARY_CAPACITY = CAPACITY * 3 / 4;

    private static final int LINES_PER_WRITE = 256;
    private static final long STOP_TIMEOUT_MILLIS = 1_000;
    private static final byte[] END_MARKER = new byte[0];

    private final OutputStream mOut;
    private final LongFunction<byte[]> mDroppedCountFormat;
    private final BlockingQueue<byte[]> mLines = new ArrayBlockingQueue<>(CAPACITY);
    private final AtomicLong mDroppedCount = new AtomicLong();
    private final Thread mWriter = new Thread(this::run, "log-writer");

    /**
     * Creates a queue. Lines are written once it is started.
     *
     * @param out receives the lines
     * @param droppedCountFormat formats the line that gives the number of dropped lines
     */
    LogQueue(OutputStream out, LongFunction<byte[]> droppedCountFormat) {
        mOut = out;
        mDroppedCountFormat = droppedCountFormat;
        mWriter.setDaemon(true);
    }

    void start() {
        mWriter.start();
    }

    /**
     * Adds a line, or drops it if there is no room.
     *
     * @param line the line, with its line end
     * @param important whether the line may use the part of the queue that is closed to ordinary
     *     lines
     */
    void put(byte[] line, boolean important) {
        boolean hasRoom = important || mLines.size() < ORDINARY_CAPACITY;
        if (!hasRoom || !mLines.offer(line)) {
            mDroppedCount.incrementAndGet();
        }
    }

    /**
     * Writes the queued lines and ends the writer thread. Waits at most one second for that thread.
     */
    void stop() {
        try {
            mLines.put(END_MARKER);
            mWriter.join(STOP_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        List<byte[]> batch = new ArrayList<>();
        try {
            while (true) {
                batch.add(mLines.take());
                mLines.drainTo(batch, LINES_PER_WRITE);
                if (writeBatch(batch)) {
                    return;
                }
                batch.clear();
            }
        } catch (IOException e) {
            // The log's output failed, so this failure cannot be logged.
            mDroppedCount.incrementAndGet();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes lines. Returns whether the batch contained the end marker. */
    private boolean writeBatch(List<byte[]> batch) throws IOException {
        boolean ended = false;
        for (byte[] line : batch) {
            ended |= line == END_MARKER;
            mOut.write(line);
        }
        long dropped = mDroppedCount.getAndSet(0);
        if (dropped > 0) {
            mOut.write(mDroppedCountFormat.apply(dropped));
        }
        mOut.flush();
        return ended;
    }
}
