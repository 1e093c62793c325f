package org.laurelweir.router.rpc;

import com.google.common.flogger.FluentLogger;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.laurelweir.membership.RouterReport;
import org.laurelweir.routing.RouterEffect;
import org.laurelweir.routing.RouterEvent;
import org.laurelweir.runtime.metrics.Readiness;
import org.laurelweir.runtime.process.ElapsedClock;
import org.laurelweir.runtime.process.Program;
import org.laurelweir.runtime.rpc.ExchangeAnswer;
import org.laurelweir.runtime.rpc.ExchangeClient;
import org.laurelweir.settings.SettingsDelta;
import org.laurelweir.settings.SettingsLookup;
import org.laurelweir.settings.SettingsReader;

/**
 * Exchanges with control: membership goes to the decision loop, settings into force. Tells whether
 * the router has what it needs to serve.
 */
public final class ControlExchange implements Readiness {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final ExchangeClient mClient;
    private final Supplier<RouterReport> mReport;
    private final SettingsLookup mSettings;
    private final Consumer<RouterEvent> mEvents;
    private final Consumer<List<String>> mControls;
    private final InstantSource mClock;
    private final SettingsTrust mTrust;
    private final Instant mStarted;
    private final SettingsReader mReader = new SettingsReader();
    private boolean mMembershipSeen;
    private boolean mSettingsFresh;
    private boolean mStopping;

    /**
     * Creates the exchange.
     *
     * @param client reaches control
     * @param report what the router tells of itself
     * @param settings where new settings are put in force
     * @param events takes membership, from any thread
     * @param controls takes the instances that control names
     * @param clock tells how long the router has been waiting
     * @param trust told when settings were confirmed
     */
    public ControlExchange(
            ExchangeClient client,
            Supplier<RouterReport> report,
            SettingsLookup settings,
            Consumer<RouterEvent> events,
            Consumer<List<String>> controls,
            InstantSource clock,
            SettingsTrust trust) {
        mClient = client;
        mReport = report;
        mSettings = settings;
        mEvents = events;
        mControls = controls;
        mClock = clock;
        mTrust = trust;
        mStarted = clock.instant();
    }

    /** Sends one exchange; its answer becomes an event. */
    public void send(RouterEffect.SendExchange exchange) {
        ElapsedClock.Mark asked = mTrust.asking();
        mClient.exchange(
                        mReport.get(),
                        exchange.cursor(),
                        position(),
                        exchange.crashes(),
                        exchange.loads())
                .whenComplete((answer, failure) -> onAnswer(asked, answer, failure));
    }

    private synchronized long position() {
        return mReader.position();
    }

    private void onAnswer(ElapsedClock.Mark asked, ExchangeAnswer answer, Throwable failure) {
        if (failure != null) {
            mEvents.accept(new RouterEvent.ExchangeFailed(failure.getMessage()));
            return;
        }
        try {
            take(asked, answer);
        } catch (RuntimeException | Error e) {
            Program.endOnError("an exchange with control was not taken in", e);
            sLogger.atSevere().withCause(e).log("an exchange with control was not taken in");
            // Without an event the next one would never be sent, and settings would stand still.
            mEvents.accept(new RouterEvent.ExchangeFailed(String.valueOf(e.getMessage())));
        }
    }

    private void take(ElapsedClock.Mark asked, ExchangeAnswer answer) {
        takeSettings(asked, answer);
        mControls.accept(answer.controls());
        mEvents.accept(
                new RouterEvent.ExchangeAnswered(
                        answer.membership(),
                        answer.crashes(),
                        answer.digest(),
                        answer.loads(),
                        answer.routers()));
        // Last: a request that is let in by it finds the backend servers that came with it.
        answer.settingsAge().ifPresent(age -> mTrust.confirmed(asked, age));
    }

    private synchronized void takeSettings(ElapsedClock.Mark asked, ExchangeAnswer answer) {
        SettingsDelta delta = answer.settings();
        if (mReader.apply(delta)) {
            mSettings.setTree(mReader.tree());
            sLogger.atInfo().log(
                    "settings at %d in force: %d nodes from %s, asked for %d ms ago, confirmed: %s",
                    delta.position(),
                    delta.nodes().size(),
                    mClient.currentAddress(),
                    mTrust.since(asked).toMillis(),
                    answer.settingsAge().map(a -> a.toMillis() + " ms ago").orElse("no"));
        }
        mMembershipSeen |= answer.membership().full();
        mSettingsFresh |= !answer.possiblyStale();
    }

    /** Has the router called not ready from now on. */
    public synchronized void stopping() {
        mStopping = true;
    }

    @Override
    public synchronized Optional<String> notReadyReason() {
        if (mStopping) {
            return Optional.of("stopping");
        }
        if (!mMembershipSeen) {
            return Optional.of("no membership has arrived");
        }
        if (!mTrust.isUsable() || !mTrust.isGiven()) {
            return Optional.of("settings are not confirmed");
        }
        if (mReader.position() == 0) {
            return Optional.of("no settings have arrived");
        }
        Instant waited = mStarted.plus(SettingsTrust.FRESH_WAIT);
        if (!mSettingsFresh && mClock.instant().isBefore(waited)) {
            return Optional.of("settings are possibly stale");
        }
        return Optional.empty();
    }
}
