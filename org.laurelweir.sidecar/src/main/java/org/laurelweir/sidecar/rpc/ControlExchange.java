package org.laurelweir.sidecar.rpc;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.laurelweir.admission.SidecarEffect;
import org.laurelweir.admission.SidecarEvent;
import org.laurelweir.runtime.rpc.ExchangeAnswer;
import org.laurelweir.runtime.rpc.ExchangeClient;

/**
 * Carries out exchanges with control, one at a time. A report that comes up meanwhile follows; of
 * several only the newest, which tells all that the others did.
 */
public final class ControlExchange {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final ExchangeClient mClient;
    private final Consumer<SidecarEvent> mEvents;
    private SidecarEffect.SendExchange mNext;
    private boolean mBusy;

    /**
     * Creates it.
     *
     * @param client reaches the control instances
     * @param events takes the answers
     */
    public ControlExchange(ExchangeClient client, Consumer<SidecarEvent> events) {
        mClient = client;
        mEvents = events;
    }

    /** Sends a report, after the one that is under way. */
    public void send(SidecarEffect.SendExchange effect) {
        synchronized (this) {
            mNext = effect;
            if (mBusy) {
                return;
            }
            mBusy = true;
        }
        sendNext();
    }

    private void sendNext() {
        SidecarEffect.SendExchange effect;
        synchronized (this) {
            effect = mNext;
            mNext = null;
            if (effect == null) {
                mBusy = false;
                notifyAll();
                return;
            }
        }
        mClient.exchange(effect.report(), effect.cursor(), 0).whenComplete(this::ended);
    }

    private void ended(ExchangeAnswer answer, Throwable failure) {
        if (answer != null) {
            mEvents.accept(
                    new SidecarEvent.ExchangeAnswered(
                            answer.membership(), answer.loads(), answer.drain(), answer.fence()));
        } else {
            sLogger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
                    "control can't be reached, serving on: %s", failure);
        }
        sendNext();
    }

    /** Waits until the last report is out or failed, at most for the given time. */
    public synchronized void awaitIdle(Duration most) throws InterruptedException {
        long until = System.nanoTime() + most.toNanos();
        while (mBusy && until - System.nanoTime() > 0) {
            TimeUnit.NANOSECONDS.timedWait(this, until - System.nanoTime());
        }
    }
}
