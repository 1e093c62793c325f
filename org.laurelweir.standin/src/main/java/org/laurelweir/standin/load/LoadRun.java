package org.laurelweir.standin.load;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Plays a plan. A chat with another turn goes to the end of the queue, so that turns of other chats
 * run in between.
 */
final class LoadRun {
    private static final double NANOS_PER_SECOND = 1e9;

    private final LoadPlan mPlan;
    private final Results mResults = new Results();
    private final RouterCaller mCaller;
    private final ScheduledExecutorService mWorkers;
    private final CountDownLatch mUnfinished;

    /** One step of a chat or plain call. */
    @FunctionalInterface
    private interface Step {
        /** Runs the step; returns whether another one follows. */
        boolean run() throws InterruptedException;
    }

    LoadRun(LoadPlan plan) {
        mPlan = plan;
        mCaller = new RouterCaller(plan, mResults);
        mWorkers = Executors.newScheduledThreadPool(plan.concurrency());
        mUnfinished = new CountDownLatch(plan.chats().count() + plan.plain().count());
    }

    /** Plays the plan to its end and returns its report. */
    Report run(RunObserver observed) throws InterruptedException {
        long start = System.nanoTime();
        int count = Math.max(mPlan.chats().count(), mPlan.plain().count());
        for (int i = 0; i < count; i++) {
            startChat(i);
            startPlain(i);
        }
        mUnfinished.await();
        mWorkers.shutdown();
        return report(observed, (System.nanoTime() - start) / NANOS_PER_SECOND);
    }

    private Report report(RunObserver observed, double seconds) {
        return new Report(
                mPlan.seed(),
                seconds,
                mResults.requests(mPlan.requests()),
                mResults.cacheReuse(),
                mResults.firstToken(),
                mResults.wholeAnswer(),
                observed.skew(),
                observed.controlTraffic(seconds),
                observed.repeatedRuns(),
                observed.unreachable());
    }

    private void startChat(int number) {
        if (number >= mPlan.chats().count()) {
            return;
        }
        String header = number % 2 == 0 ? mPlan.chats().header() : null;
        ChatPlayer p = new ChatPlayer(new ChatScript(mPlan, number), header, mCaller, mResults);
        mWorkers.execute(() -> runSteps(p::playTurn));
    }

    private void startPlain(int number) {
        if (number >= mPlan.plain().count()) {
            return;
        }
        PlainPlayer p = new PlainPlayer(mPlan, mCaller, mResults);
        mWorkers.execute(
                () ->
                        runSteps(
                                () -> {
                                    p.play(number);
                                    return false;
                                }));
    }

    private void runSteps(Step step) {
        if (runStep(step)) {
            long pause = mPlan.chats().pause().toMillis();
            mWorkers.schedule(() -> runSteps(step), pause, TimeUnit.MILLISECONDS);
            return;
        }
        mUnfinished.countDown();
    }

    /**
     * Runs a step. An error of the generator counts as a failed request, so that the run does not
     * wait forever for this step.
     */
    private boolean runStep(Step step) {
        try {
            return step.run();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        } catch (RuntimeException e) {
            mResults.countFailed(e.toString());
            return false;
        }
    }
}
