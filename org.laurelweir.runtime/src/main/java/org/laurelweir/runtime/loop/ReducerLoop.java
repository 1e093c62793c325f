package org.laurelweir.runtime.loop;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.InstantSource;
import java.util.function.Consumer;
import org.agrona.concurrent.Agent;
import org.agrona.concurrent.AgentRunner;
import org.agrona.concurrent.AgentTerminationException;
import org.agrona.concurrent.IdleStrategy;
import org.laurelweir.lib.Reducer;
import org.laurelweir.lib.Service;

/**
 * Runs a reducer on its own thread. Accepts events from any thread, passes effects to the shell on
 * the loop's thread, and sends the reducer a tick at a fixed interval.
 *
 * <p>An exception from the reducer or from the shell's effect handling ends the loop. The state may
 * then be partly changed, so a restart of the process is safer than going on.
 *
 * @param <E> the reducer's events
 * @param <F> the reducer's effects
 */
public final class ReducerLoop<E, F> implements Service {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final int INBOX_CAPACITY = 1 << 16;
    private static final int EVENTS_PER_DUTY_CYCLE = 256;

    private final Inbox<E> mInbox = new Inbox<>(INBOX_CAPACITY);
    private final Reducer<E, F> mReducer;
    private final InstantSource mClock;
    private final E mTick;
    private final long mTickIntervalNanos;
    private final Consumer<F> mEffects;
    private final Consumer<Throwable> mOnFailure;
    private final AgentRunner mRunner;
    private long mNextTickNanos;

    /**
     * Creates a loop. It processes events once started.
     *
     * @param name name of the thread
     * @param reducer processes the events
     * @param clock supplies the time of each event
     * @param tick the event that is sent at each interval
     * @param tickInterval time between two ticks
     * @param effects executes effects on the loop's thread; must not block
     * @param onFailure called with the exception that ended the loop
     */
    public ReducerLoop(
            String name,
            Reducer<E, F> reducer,
            InstantSource clock,
            E tick,
            Duration tickInterval,
            Consumer<F> effects,
            Consumer<Throwable> onFailure) {
        mReducer = reducer;
        mClock = clock;
        mTick = tick;
        mTickIntervalNanos = tickInterval.toNanos();
        mEffects = effects;
        mOnFailure = onFailure;
        mRunner =
                new AgentRunner(
                        new InboxIdleStrategy(), this::handleFailure, null, new LoopAgent(name));
    }

    /**
     * Queues an event for the reducer. Any thread may call this; a thread other than the loop's
     * waits while the queue is full.
     *
     * @param event the event
     */
    public void offer(E event) {
        mInbox.put(event);
    }

    @Override
    public void start() {
        AgentRunner.startOnThread(mRunner);
    }

    @Override
    public void stop() {
        mRunner.close();
    }

    private void handleFailure(Throwable failure) {
        sLogger.atSevere().withCause(failure).log("the reducer loop ended after a failure");
        mOnFailure.accept(failure);
        throw new AgentTerminationException(failure);
    }

    private int processEvents() {
        int taken = 0;
        E event = mInbox.poll();
        while (event != null) {
            mReducer.step(mClock.instant(), event, mEffects);
            taken++;
            event = taken < EVENTS_PER_DUTY_CYCLE ? mInbox.poll() : null;
        }
        return taken;
    }

    private int tickIfDue() {
        long now = System.nanoTime();
        if (now - mNextTickNanos < 0) {
            return 0;
        }
        mNextTickNanos = now + mTickIntervalNanos;
        mReducer.step(mClock.instant(), mTick, mEffects);
        return 1;
    }

    private final class LoopAgent implements Agent {
        private final String mName;

        LoopAgent(String name) {
            mName = name;
        }

        @Override
        public void onStart() {
            mInbox.bindConsumer();
            mNextTickNanos = System.nanoTime();
        }

        @Override
        public int doWork() {
            return processEvents() + tickIfDue();
        }

        @Override
        public String roleName() {
            return mName;
        }
    }

    private final class InboxIdleStrategy implements IdleStrategy {
        @Override
        public void idle(int workCount) {
            if (workCount == 0) {
                idle();
            }
        }

        @Override
        public void idle() {
            mInbox.await(Math.max(0, mNextTickNanos - System.nanoTime()));
        }

        @Override
        public void reset() {
            // Parking keeps no state between calls.
        }
    }
}
