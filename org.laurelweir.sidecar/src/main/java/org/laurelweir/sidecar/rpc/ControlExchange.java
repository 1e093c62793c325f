package org.laurelweir.sidecar.rpc;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.laurelweir.admission.SidecarEffect;
import org.laurelweir.admission.SidecarEvent;
import org.laurelweir.admission.SidecarSettings;
import org.laurelweir.runtime.rpc.ExchangeAnswer;
import org.laurelweir.runtime.rpc.ExchangeClient;
import org.laurelweir.settings.Policies;
import org.laurelweir.settings.SettingsContext;
import org.laurelweir.settings.SettingsReader;

/**
 * Carries out exchanges with control, one at a time. A report that comes up meanwhile follows; of
 * several only the newest, which tells all that the others did.
 */
public final class ControlExchange {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final ExchangeClient mClient;
    private final SettingsContext mContext;
    private final Set<Integer> mRefusalStatuses;
    private final Consumer<SidecarEvent> mEvents;
    private final SettingsReader mReader = new SettingsReader();
    private SidecarEffect.SendExchange mNext;
    private boolean mBusy;

    /**
     * Creates it.
     *
     * @param client reaches the control instances
     * @param context for what settings are resolved
     * @param refusalStatuses the backend server's own, which no settings tree knows
     * @param events takes the answers
     */
    public ControlExchange(
            ExchangeClient client,
            SettingsContext context,
            Set<Integer> refusalStatuses,
            Consumer<SidecarEvent> events) {
        mClient = client;
        mContext = context;
        mRefusalStatuses = refusalStatuses;
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
        long position;
        synchronized (this) {
            effect = mNext;
            mNext = null;
            position = mReader.position();
            if (effect == null) {
                mBusy = false;
                notifyAll();
                return;
            }
        }
        mClient.exchange(effect.report(), effect.cursor(), position).whenComplete(this::ended);
    }

    private void ended(ExchangeAnswer answer, Throwable failure) {
        if (answer != null) {
            take(answer);
        } else {
            sLogger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
                    "control can't be reached, serving on: %s", failure);
        }
        sendNext();
    }

    private void take(ExchangeAnswer answer) {
        takeSettings(answer);
        mEvents.accept(
                new SidecarEvent.ExchangeAnswered(
                        answer.membership(),
                        answer.loads(),
                        !answer.possiblyStale(),
                        answer.drain(),
                        answer.fence()));
    }

    private synchronized void takeSettings(ExchangeAnswer answer) {
        if (mReader.apply(answer.settings())) {
            mEvents.accept(new SidecarEvent.SettingsChanged(settings()));
        }
    }

    /** Returns the settings in force; the defaults until control has told any. */
    public synchronized SidecarSettings settings() {
        return Policies.sidecar(mReader.tree().effective(mContext))
                .withRefusalStatuses(mRefusalStatuses);
    }

    /** Waits until the last report is out or failed, at most for the given time. */
    public synchronized void awaitIdle(Duration most) throws InterruptedException {
        long until = System.nanoTime() + most.toNanos();
        while (mBusy && until - System.nanoTime() > 0) {
            TimeUnit.NANOSECONDS.timedWait(this, until - System.nanoTime());
        }
    }
}
