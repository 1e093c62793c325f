package org.laurelweir.runtime.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Tests that failures of background tasks are reported. No thread waits for the result of such a
 * task, so an unreported failure would stall a control instance without a log line.
 */
class BackgroundExecutorTest {
    private final BlockingQueue<Throwable> mFailures = new LinkedBlockingQueue<>();
    private final BackgroundExecutor mExecutor =
            new BackgroundExecutor("background", mFailures::add);

    @AfterEach
    void stop() {
        mExecutor.shutdownNow();
    }

    private Throwable nextFailure() throws InterruptedException {
        return mFailures.poll(1, TimeUnit.MINUTES);
    }

    private static void fail(RuntimeException e) {
        throw e;
    }

    @Test
    void reportsFailuresOfAllKindsOfSubmission() throws Exception {
        RuntimeException failure = new IllegalStateException("broken");
        mExecutor.execute(() -> fail(failure));
        assertThat(nextFailure()).isSameAs(failure);
        mExecutor.submit(() -> fail(failure));
        assertThat(nextFailure()).isSameAs(failure);
        mExecutor.schedule(() -> fail(failure), 1, TimeUnit.MILLISECONDS);
        assertThat(nextFailure()).isSameAs(failure);
        mExecutor.scheduleAtFixedRate(() -> fail(failure), 0, 1, TimeUnit.MILLISECONDS);
        assertThat(nextFailure()).isSameAs(failure);
    }

    @Test
    void reportsAnErrorAndRunsLaterTasks() throws Exception {
        Error error = new AssertionError("as when the heap is full");
        mExecutor.schedule(
                () -> {
                    throw error;
                },
                0,
                TimeUnit.MILLISECONDS);
        assertThat(nextFailure()).isSameAs(error);
        CompletableFuture<String> next = new CompletableFuture<>();
        mExecutor.execute(() -> next.complete("ran"));
        assertThat(next.get(1, TimeUnit.MINUTES)).isEqualTo("ran");
        assertThat(mFailures).isEmpty();
    }

    @Test
    void doesNotReportCancelledTasks() throws Exception {
        mExecutor.schedule(() -> {}, 1, TimeUnit.HOURS).cancel(false);
        mExecutor.submit(() -> {}).get(1, TimeUnit.MINUTES);
        assertThat(mFailures).isEmpty();
    }

    // Guards against a reducer that ends with a failure while its program stops: the reducer
    // schedules a task when the executor is already shut down.
    @Test
    void dropsTasksAfterTheShutdown() {
        mExecutor.shutdownNow();
        assertThatCode(() -> mExecutor.schedule(() -> {}, 1, TimeUnit.MILLISECONDS))
                .doesNotThrowAnyException();
        assertThatCode(() -> mExecutor.execute(() -> {})).doesNotThrowAnyException();
    }
}
