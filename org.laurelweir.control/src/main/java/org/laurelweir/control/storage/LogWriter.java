package org.laurelweir.control.storage;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.laurelweir.consensus.ConsensusEffect.Persist;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.lib.Service;

/**
 * Carries out persist effects on a thread of its own, so that the event loop never waits for the
 * disk. All effects waiting when a sync ends share the next. The callbacks run on that thread; the
 * shell turns them into events.
 */
public final class LogWriter implements Service {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** Between two tries; a disk that has room again is noticed well within an election. */
    private static final Duration PAUSE = Duration.ofMillis(250);

    private final LogStorage mStorage;
    private final LongConsumer mPersisted;
    private final Consumer<Throwable> mFailed;
    private final Thread mThread = new Thread(this::run, "log-writer");
    private List<Persist> mWaiting = new ArrayList<>();

    /** The index to note, 0 where there is none. */
    private long mCommitted;

    private boolean mStopping;
    private final CountDownLatch mStopped = new CountDownLatch(1);

    /**
     * Creates a writer.
     *
     * @param storage closed by its owner, after this has stopped
     * @param persisted told of each sequence up to which all has been synced
     * @param failed told once that the disk or the writer failed; nothing is persisted any more,
     *     and the replica must stop
     */
    public LogWriter(LogStorage storage, LongConsumer persisted, Consumer<Throwable> failed) {
        mStorage = storage;
        mPersisted = persisted;
        mFailed = failed;
    }

    @Override
    public void start() {
        mThread.start();
    }

    /** Hands over one effect. Called by one thread, in the order of the sequences. */
    public synchronized void persist(Persist effect) {
        mWaiting.add(effect);
        notifyAll();
    }

    /**
     * Notes up to which entry the log is committed, once nothing waits to be persisted; of several
     * indexes only the last one is written.
     */
    public synchronized void markCommitted(long index) {
        mCommitted = index;
        notifyAll();
    }

    /**
     * Persists what has been handed over, as far as the disk takes it, then ends. The thread is not
     * interrupted: that would close the file channel in the middle of a write.
     */
    @Override
    public void stop() {
        requestStop();
        try {
            mThread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void requestStop() {
        mStopping = true;
        mStopped.countDown();
        notifyAll();
    }

    private void run() {
        try {
            Work work = take();
            while (!work.isEmpty() && carryOut(work)) {
                work = take();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException | Error e) {
            // Ended by an error in silence, it would leave a replica that acknowledges nothing.
            sLogger.atSevere().withCause(e).log("the log writer ended");
            mFailed.accept(e);
        }
    }

    /**
     * Does a piece of work.
     *
     * @return whether it is done; if not nothing may be persisted behind it
     */
    private boolean carryOut(Work work) throws InterruptedException {
        if (work.batch().isEmpty()) {
            mStorage.markCommitted(work.committed());
            return true;
        }
        if (!persist(work.batch())) {
            return false;
        }
        mPersisted.accept(work.batch().get(work.batch().size() - 1).sequence());
        return true;
    }

    /**
     * Persists a batch, again and again while the disk takes no writes: the instance goes on
     * serving what it knows, and neither votes nor acknowledges what is not on the disk.
     *
     * @return whether it is persisted; if not, the writer has been stopped
     */
    private boolean persist(List<Persist> batch) throws InterruptedException {
        for (int tries = 1; ; tries++) {
            try {
                mStorage.persist(batch);
                noteRoom(tries);
                return true;
            } catch (LaurelweirException e) {
                if (e.getCode() != ResultCode.DISK_FULL) {
                    throw e;
                }
                sLogger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                        "the disk takes no writes, %d effects wait, tried again: %s",
                        batch.size(), e);
            }
            if (mStopped.await(PAUSE.toMillis(), TimeUnit.MILLISECONDS)) {
                return false;
            }
        }
    }

    private static void noteRoom(int tries) {
        if (tries > 1) {
            sLogger.atInfo().log("the disk takes writes again, after %d tries", tries);
        }
    }

    /** Waits for something to do and takes all effects, or else the mark; nothing once stopped. */
    private synchronized Work take() throws InterruptedException {
        while (mWaiting.isEmpty() && mCommitted == 0 && !mStopping) {
            wait();
        }
        if (!mWaiting.isEmpty()) {
            List<Persist> batch = mWaiting;
            mWaiting = new ArrayList<>();
            return new Work(batch, 0);
        }
        long committed = mCommitted;
        mCommitted = 0;
        return new Work(List.of(), committed);
    }

    /**
     * What the thread does next: effects to persist, or an index to note, or neither at the end.
     */
    private record Work(List<Persist> batch, long committed) {
        boolean isEmpty() {
            return batch.isEmpty() && committed == 0;
        }
    }
}
