package org.laurelweir.control.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.laurelweir.agreement.AgreementEffect.Persist;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.lib.Service;

/**
 * Carries out persist effects on a thread of its own, so that the event loop never waits for the
 * disk. All effects waiting when a sync ends share the next. The callbacks run on that thread; the
 * shell turns them into events.
 */
public final class LogWriter implements Service {
    /**
     * Ends the thread. Not an interrupt, which would close the channel in the middle of a write.
     */
    private static final Persist STOP = new Persist(0, null, null, false, List.of());

    private final BlockingQueue<Persist> mQueue = new LinkedBlockingQueue<>();
    private final LogStorage mStorage;
    private final LongConsumer mPersisted;
    private final Consumer<LaurelweirException> mFailed;
    private final Thread mThread = new Thread(this::run, "log-writer");

    /**
     * Creates a writer.
     *
     * @param storage closed by its owner, after this has stopped
     * @param persisted told of each sequence up to which all has been synced
     * @param failed told once that the disk failed; nothing is persisted any more, and the replica
     *     must stop
     */
    public LogWriter(
            LogStorage storage, LongConsumer persisted, Consumer<LaurelweirException> failed) {
        mStorage = storage;
        mPersisted = persisted;
        mFailed = failed;
    }

    @Override
    public void start() {
        mThread.start();
    }

    /** Hands over one effect. Called by one thread, in the order of the sequences. */
    public void persist(Persist effect) {
        mQueue.add(effect);
    }

    /** Persists what has been handed over, then ends. */
    @Override
    public void stop() {
        mQueue.add(STOP);
        try {
            mThread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        List<Persist> batch = new ArrayList<>();
        boolean stopped = false;
        while (!stopped) {
            batch.clear();
            take(batch);
            stopped = batch.remove(STOP);
            if (!batch.isEmpty() && !write(batch)) {
                return;
            }
        }
    }

    private void take(List<Persist> batch) {
        try {
            batch.add(mQueue.take());
            mQueue.drainTo(batch);
        } catch (InterruptedException e) {
            batch.add(STOP);
        }
    }

    private boolean write(List<Persist> batch) {
        try {
            mStorage.persist(batch);
        } catch (LaurelweirException e) {
            mFailed.accept(e);
            return false;
        } catch (RuntimeException e) {
            mFailed.accept(
                    new LaurelweirException(ResultCode.DISK_FAILED, "the log writer failed", e));
            return false;
        }
        mPersisted.accept(batch.get(batch.size() - 1).sequence());
        return true;
    }
}
