package org.laurelweir.control.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import org.laurelweir.agreement.AgreementEffect.Persist;
import org.laurelweir.agreement.AgreementEvent.Persisted;
import org.laurelweir.control.storage.LogStorage;
import org.laurelweir.coordination.ControlEvent;
import org.laurelweir.lib.Service;

/**
 * Writes the log on a thread of its own. Whatever has gathered while the disk was busy is written
 * together and synced once, so that the rate of claims is not bound to the rate of syncs.
 */
public final class DiskWriter implements Service {
    private static final int MOST_TOGETHER = 1024;

    private final LogStorage mStorage;
    private final Consumer<ControlEvent> mEvents;
    private final Consumer<Throwable> mOnFailure;
    private final BlockingQueue<Persist> mQueue = new LinkedBlockingQueue<>();
    private final Thread mThread = new Thread(this::run, "control-disk");
    private volatile boolean mStopping;

    /**
     * Creates a writer that has not started.
     *
     * @param storage the log's files; closed by {@link #stop}
     * @param events told of what is synced
     * @param onFailure called when the disk has failed; the process can't go on then
     */
    public DiskWriter(
            LogStorage storage, Consumer<ControlEvent> events, Consumer<Throwable> onFailure) {
        mStorage = storage;
        mEvents = events;
        mOnFailure = onFailure;
    }

    /** Queues a write; never blocks. */
    public void write(Persist persist) {
        mQueue.add(persist);
    }

    @Override
    public void start() {
        mThread.start();
    }

    private void run() {
        List<Persist> batch = new ArrayList<>();
        try {
            while (!mStopping) {
                batch.add(mQueue.take());
                mQueue.drainTo(batch, MOST_TOGETHER - 1);
                mStorage.persist(batch);
                long last = batch.get(batch.size() - 1).sequence();
                mEvents.accept(new ControlEvent.Replica(new Persisted(last)));
                batch.clear();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            mOnFailure.accept(e);
        }
    }

    /**
     * Ends after the write under way. What is still queued was not acknowledged to anyone. The
     * thread is not interrupted: that would close the file channel under its hands.
     */
    @Override
    public void stop() {
        mStopping = true;
        mQueue.add(new Persist(Long.MAX_VALUE, null, null, false, List.of()));
        try {
            mThread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        mStorage.close();
    }
}
