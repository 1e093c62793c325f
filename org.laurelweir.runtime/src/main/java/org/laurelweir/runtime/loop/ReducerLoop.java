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
 * Runs a reducer on a thread of its own: takes events from any thread, hands effects to the shell
 * on the loop's thread, and sends the reducer a tick at a fixed interval.
 *
 * <p>An exception out of the reducer or the shell's effect handling ends the loop: the state may be
 * half changed then, and a process that restarts is safer than one that goes on with it.
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
    private final long mTickNanos;
    private final Consumer<F> mEffects;
    private final Consumer<Throwable> mOnFailure;
    private final AgentRunner mRunner;
    private long mNextTick;

    /**
     * Creates a loop that does nothing before its start.
     *
     * @param name of the thread
     * @param reducer decides
     * @param clock gives each event its time
     * @param tick the event to send when time passes
     * @param tickInterval how often to send it
     * @param effects carries effects out; must not block
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
        mTickNanos = tickInterval.toNanos();
        mEffects = effects;
        mOnFailure = onFailure;
        mRunner = new AgentRunner(new InboxIdle(), this::failed, null, new LoopAgent(name));
    }

    /**
     * Hands an event to the reducer; from any thread.
     *
     * @param event what happened
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

    private void failed(Throwable failure) {
        sLogger.atSevere().withCause(failure).log("the decision loop ended");
        mOnFailure.accept(failure);
        throw new AgentTerminationException(failure);
    }

    private int takeEvents() {
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
        if (now - mNextTick < 0) {
            return 0;
        }
        mNextTick = now + mTickNanos;
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
            mNextTick = System.nanoTime();
        }

        @Override
        public int doWork() {
            return takeEvents() + tickIfDue();
        }

        @Override
        public String roleName() {
            return mName;
        }
    }

    private final class InboxIdle implements IdleStrategy {
        @Override
        public void idle(int workCount) {
            if (workCount == 0) {
                idle();
            }
        }

        @Override
        public void idle() {
            mInbox.await(Math.max(0, mNextTick - System.nanoTime()));
        }

        @Override
        public void reset() {
            // Parking keeps no state between calls.
        }
    }
}
