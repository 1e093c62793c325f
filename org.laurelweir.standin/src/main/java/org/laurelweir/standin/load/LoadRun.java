package org.laurelweir.standin.load;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Plays a plan. A chat that returns goes to the end of the queue, so that others come between its
 * turns.
 */
final class LoadRun {
    private static final double NANOS = 1e9;

    private final LoadPlan mPlan;
    private final Results mResults = new Results();
    private final RouterCaller mCaller;
    private final ScheduledExecutorService mWorkers;
    private final CountDownLatch mLeft;

    /** One step of a worker. */
    @FunctionalInterface
    private interface Step {
        /** Returns whether there is another step. */
        boolean play() throws InterruptedException;
    }

    LoadRun(LoadPlan plan) {
        mPlan = plan;
        mCaller = new RouterCaller(plan, mResults);
        mWorkers = Executors.newScheduledThreadPool(plan.concurrency());
        mLeft = new CountDownLatch(plan.chats().count() + plan.plain().count());
    }

    /** Plays the plan to its end and returns what it came to. */
    Report run(Observed observed) throws InterruptedException {
        long start = System.nanoTime();
        int most = Math.max(mPlan.chats().count(), mPlan.plain().count());
        for (int i = 0; i < most; i++) {
            startChat(i);
            startPlain(i);
        }
        mLeft.await();
        mWorkers.shutdown();
        return report(observed, (System.nanoTime() - start) / NANOS);
    }

    private Report report(Observed observed, double seconds) {
        return new Report(
                mPlan.seed(),
                seconds,
                mResults.requests(mPlan.requests()),
                mResults.cacheReuse(),
                mResults.firstToken(),
                mResults.wholeAnswer(),
                observed.skew(),
                observed.control(seconds),
                observed.repeatedRuns(),
                observed.unreachable());
    }

    private void startChat(int number) {
        if (number >= mPlan.chats().count()) {
            return;
        }
        String header = number % 2 == 0 ? mPlan.chats().header() : null;
        ChatPlayer p = new ChatPlayer(new ChatScript(mPlan, number), header, mCaller, mResults);
        mWorkers.execute(() -> work(p::play));
    }

    private void startPlain(int number) {
        if (number >= mPlan.plain().count()) {
            return;
        }
        PlainPlayer p = new PlainPlayer(mPlan, mCaller, mResults);
        mWorkers.execute(
                () ->
                        work(
                                () -> {
                                    p.play(number);
                                    return false;
                                }));
    }

    private void work(Step step) {
        if (playSafely(step)) {
            long pause = mPlan.chats().pause().toMillis();
            mWorkers.schedule(() -> work(step), pause, TimeUnit.MILLISECONDS);
            return;
        }
        mLeft.countDown();
    }

    /** An error of the generator itself must not leave the run waiting for this step. */
    private boolean playSafely(Step step) {
        try {
            return step.play();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        } catch (RuntimeException e) {
            mResults.failed(e.toString());
            return false;
        }
    }
}
