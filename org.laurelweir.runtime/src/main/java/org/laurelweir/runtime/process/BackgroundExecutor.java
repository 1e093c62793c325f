package org.laurelweir.runtime.process;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.function.Consumer;

/**
 * One thread for tasks that nobody waits for. The platform's own executors keep a task's failure in
 * a future that nobody reads: a task that schedules itself again would end without a line, and what
 * depends on it would stand still.
 */
public final class BackgroundExecutor extends ScheduledThreadPoolExecutor {
    private final Consumer<Throwable> mFailed;

    /**
     * Creates the executor.
     *
     * @param name of its thread
     * @param failed takes what a task threw, on that thread
     */
    public BackgroundExecutor(String name, Consumer<Throwable> failed) {
        super(1, r -> new Thread(r, name));
        mFailed = failed;
    }

    @Override
    protected void afterExecute(Runnable task, Throwable thrown) {
        super.afterExecute(task, thrown);
        Throwable failure = thrown == null ? failureOf(task) : thrown;
        if (failure != null) {
            mFailed.accept(failure);
        }
    }

    private static Throwable failureOf(Runnable task) {
        if (!(task instanceof Future<?> f) || !f.isDone() || f.isCancelled()) {
            return null;
        }
        try {
            f.get();
            return null;
        } catch (ExecutionException e) {
            return e.getCause();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        }
    }
}
