package org.laurelweir.control.storage;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.Path;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.laurelweir.lib.Service;
import org.laurelweir.resumption.StreamRecord;

/**
 * Writes the records of streams to the disk on its own thread. Those that arrive during a sync
 * share the next one. They have no place in the replicated log: each is needed for half a minute,
 * at any instance that has it.
 *
 * <p>Callers wait for their first events meanwhile. So without a disk, or with one that fails, a
 * record is confirmed all the same; it lasts as long as the process.
 */
public final class StreamRecordWriter implements Service {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final Optional<StreamRecordFiles> mFiles;
    private final LongConsumer mOnKept;
    private final Thread mThread = new Thread(this::run, "stream-records");
    private List<Pending> mPending = new ArrayList<>();
    private boolean mStopping;

    /** A record, and the call that is confirmed once it is written. */
    private record Pending(long call, StreamRecord record) {}

    private StreamRecordWriter(Optional<StreamRecordFiles> files, LongConsumer onKept) {
        mFiles = files;
        mOnKept = onKept;
    }

    /**
     * Opens the records in a data folder.
     *
     * @param folder the data folder, empty for an instance without a disk
     * @param clock the age of files
     * @param onKept receives the call of each record that is confirmed, on any thread
     */
    public static StreamRecordWriter open(
            Optional<Path> folder, InstantSource clock, LongConsumer onKept) {
        return new StreamRecordWriter(folder.flatMap(f -> openFiles(f, clock)), onKept);
    }

    private static Optional<StreamRecordFiles> openFiles(Path folder, InstantSource clock) {
        try {
            return Optional.of(new StreamRecordFiles(folder, Disk.DEFAULT, clock));
        } catch (IOException e) {
            sLogger.atWarning().withCause(e).log(
                    "the records of streams in %s can't be read; they are kept in memory only",
                    folder);
            return Optional.empty();
        }
    }

    /** Returns the records of earlier runs, the oldest first. */
    public List<StreamRecord> takenOver() {
        return mFiles.map(StreamRecordFiles::takenOver).orElse(List.of());
    }

    @Override
    public void start() {
        if (mFiles.isPresent()) {
            mThread.start();
        }
    }

    /** Writes a record, and confirms its call afterwards. */
    public void keep(long call, StreamRecord record) {
        if (mFiles.isEmpty() || !enqueue(new Pending(call, record))) {
            mOnKept.accept(call);
        }
    }

    private synchronized boolean enqueue(Pending pending) {
        if (mStopping) {
            return false;
        }
        mPending.add(pending);
        notifyAll();
        return true;
    }

    private void run() {
        try {
            List<Pending> batch = takeBatch();
            while (!batch.isEmpty()) {
                write(batch);
                batch = takeBatch();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits for records. Returns none after a stop. */
    private synchronized List<Pending> takeBatch() throws InterruptedException {
        while (mPending.isEmpty() && !mStopping) {
            wait();
        }
        List<Pending> batch = mPending;
        mPending = new ArrayList<>();
        return batch;
    }

    private void write(List<Pending> batch) {
        try {
            mFiles.orElseThrow().append(batch.stream().map(Pending::record).toList());
        } catch (IOException e) {
            sLogger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "%d records of streams are kept in memory only: %s", batch.size(), e);
        }
        batch.forEach(p -> mOnKept.accept(p.call()));
    }

    @Override
    public void stop() {
        synchronized (this) {
            mStopping = true;
            notifyAll();
        }
        try {
            mThread.join();
            if (mFiles.isPresent()) {
                mFiles.get().close();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            sLogger.atWarning().withCause(e).log("the records of streams can't be closed");
        }
    }
}
