package org.laurelweir.runtime.process;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.function.Consumer;

/**
 * Runs background tasks on one thread and reports their failures. The JDK's executors keep a
 * failure in the task's future. If that future is never read, a task that reschedules itself ends
 * without a log line, and the work that depends on the task stalls.
 *
 * <p>A task that is submitted after the shutdown is dropped. Whoever submits it is about to stop,
 * too, and would otherwise fail in the midst of that.
 */
public final class BackgroundExecutor extends ScheduledThreadPoolExecutor {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final Consumer<Throwable> mOnFailure;

    /**
     * Creates the executor.
     *
     * @param name name of the executor's thread
     * @param onFailure receives the exception or error of a failed task, on the executor's thread
     */
    public BackgroundExecutor(String name, Consumer<Throwable> onFailure) {
        super(1, r -> new Thread(r, name), BackgroundExecutor::drop);
        mOnFailure = onFailure;
    }

    private static void drop(Runnable task, ThreadPoolExecutor executor) {
        sLogger.atFine().log("a task was submitted after the shutdown and is dropped");
    }

    @Override
    protected void afterExecute(Runnable task, Throwable thrown) {
        super.afterExecute(task, thrown);
        Throwable failure = thrown == null ? failureOf(task) : thrown;
        if (failure != null) {
            mOnFailure.accept(failure);
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
