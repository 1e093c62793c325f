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
 * Exchanges reports with control, one at a time. A report that is sent during an exchange waits for
 * its end. Only the newest waiting report is kept, because it includes what the older ones say.
 */
public final class ControlExchange {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final ExchangeClient mClient;
    private final SettingsContext mContext;
    private final Set<Integer> mRefusalStatuses;
    private final Consumer<SidecarEvent> mEvents;
    private final SettingsReader mReader = new SettingsReader();
    private SidecarEffect.SendExchange mPending;
    private boolean mInFlight;

    /**
     * Creates an exchange that has sent nothing.
     *
     * @param client reaches the control instances
     * @param context the region, data centre and service that settings are resolved for
     * @param refusalStatuses the statuses of the backend server that mean "not run"; they come from
     *     the sidecar's settings file, not from the settings tree
     * @param events receives control's answers and changed settings
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

    /** Sends a report, after the exchange in flight if there is one. */
    public void send(SidecarEffect.SendExchange effect) {
        synchronized (this) {
            mPending = effect;
            if (mInFlight) {
                return;
            }
            mInFlight = true;
        }
        sendNext();
    }

    private void sendNext() {
        SidecarEffect.SendExchange effect;
        long position;
        synchronized (this) {
            effect = mPending;
            mPending = null;
            position = mReader.position();
            if (effect == null) {
                mInFlight = false;
                notifyAll();
                return;
            }
        }
        mClient.exchange(effect.report(), effect.cursor(), position)
                .whenComplete(this::onExchangeEnded);
    }

    private void onExchangeEnded(ExchangeAnswer answer, Throwable failure) {
        if (answer != null) {
            handleAnswer(answer);
        } else {
            sLogger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
                    "exchange with control failed, still serving: %s", failure);
        }
        sendNext();
    }

    private void handleAnswer(ExchangeAnswer answer) {
        applySettings(answer);
        mEvents.accept(
                new SidecarEvent.ExchangeAnswered(
                        answer.membership(),
                        answer.loads(),
                        !answer.possiblyStale(),
                        answer.drain(),
                        answer.fence()));
    }

    private synchronized void applySettings(ExchangeAnswer answer) {
        if (mReader.apply(answer.settings())) {
            mEvents.accept(new SidecarEvent.SettingsChanged(settings()));
        }
    }

    /** Returns the settings in force; the defaults until control has sent any. */
    public synchronized SidecarSettings settings() {
        return Policies.sidecarSettings(mReader.tree().effective(mContext))
                .withRefusalStatuses(mRefusalStatuses);
    }

    /** Waits until no exchange is in flight and no report waits, or until the timeout. */
    public synchronized void awaitIdle(Duration timeout) throws InterruptedException {
        long deadline = System.nanoTime() + timeout.toNanos();
        while (mInFlight && deadline - System.nanoTime() > 0) {
            TimeUnit.NANOSECONDS.timedWait(this, deadline - System.nanoTime());
        }
    }
}
