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
 * Hands lines to a thread that writes them, so that whoever logs never waits for the reader of the
 * log. A reader that does not keep up costs lines and no time: ordinary lines are dropped first,
 * warnings and errors only when there is no room at all, and the log says how many.
 */
final class LogQueue {
    /** A few seconds of a busy program's lines, a few MB. */
    private static final int CAPACITY = 8192;

    /** The part that ordinary lines may fill. */
    private static final int CAPACITY_OF_ORDINARY = CAPACITY * 3 / 4;

    private static final int LINES_PER_WRITE = 256;
    private static final long STOP_MILLIS = 1_000;
    private static final byte[] END = new byte[0];

    private final OutputStream mOut;
    private final LongFunction<byte[]> mDroppedLine;
    private final BlockingQueue<byte[]> mLines = new ArrayBlockingQueue<>(CAPACITY);
    private final AtomicLong mDropped = new AtomicLong();
    private final Thread mWriter = new Thread(this::run, "log-writer");

    /**
     * Creates a queue that has not started.
     *
     * @param out takes the lines
     * @param droppedLine makes the line that tells how many were dropped
     */
    LogQueue(OutputStream out, LongFunction<byte[]> droppedLine) {
        mOut = out;
        mDroppedLine = droppedLine;
        mWriter.setDaemon(true);
    }

    void start() {
        mWriter.start();
    }

    /**
     * Takes a line, or drops it.
     *
     * @param line with its line end
     * @param important whether it is kept before ordinary ones
     */
    void put(byte[] line, boolean important) {
        boolean hasRoom = important || mLines.size() < CAPACITY_OF_ORDINARY;
        if (!hasRoom || !mLines.offer(line)) {
            mDropped.incrementAndGet();
        }
    }

    /** Writes what has been put so far; gives up after a second. */
    void stop() {
        try {
            mLines.put(END);
            mWriter.join(STOP_MILLIS);
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
                if (write(batch)) {
                    return;
                }
                batch.clear();
            }
        } catch (IOException e) {
            // The log itself has failed: there is nowhere left to say so.
            mDropped.incrementAndGet();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes lines; returns whether the end was among them. */
    private boolean write(List<byte[]> batch) throws IOException {
        boolean ended = false;
        for (byte[] line : batch) {
            ended |= line == END;
            mOut.write(line);
        }
        long dropped = mDropped.getAndSet(0);
        if (dropped > 0) {
            mOut.write(mDroppedLine.apply(dropped));
        }
        mOut.flush();
        return ended;
    }
}
