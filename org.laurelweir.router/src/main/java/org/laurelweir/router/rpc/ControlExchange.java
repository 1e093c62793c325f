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
 * Exchanges with control. Passes the membership to the decision loop and puts new settings in
 * force. Also tells whether the router is ready to serve.
 */
public final class ControlExchange implements Readiness {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final ExchangeClient mClient;
    private final Supplier<RouterReport> mReport;
    private final SettingsLookup mSettings;
    private final Consumer<RouterEvent> mEvents;
    private final Consumer<List<String>> mOnControls;
    private final InstantSource mClock;
    private final SettingsLease mLease;
    private final Instant mStarted;
    private final SettingsReader mReader = new SettingsReader();
    private boolean mMembershipReceived;
    private boolean mFreshSettingsReceived;
    private boolean mStopping;

    /**
     * Creates the exchange.
     *
     * @param client sends the exchanges to control
     * @param report returns the router's report about itself
     * @param settings holds the settings in force
     * @param events receives the answers as events, on any thread
     * @param onControls receives the addresses of control instances
     * @param clock measures the time since the start
     * @param lease receives the confirmations of the settings
     */
    public ControlExchange(
            ExchangeClient client,
            Supplier<RouterReport> report,
            SettingsLookup settings,
            Consumer<RouterEvent> events,
            Consumer<List<String>> onControls,
            InstantSource clock,
            SettingsLease lease) {
        mClient = client;
        mReport = report;
        mSettings = settings;
        mEvents = events;
        mOnControls = onControls;
        mClock = clock;
        mLease = lease;
        mStarted = clock.instant();
    }

    /** Sends one exchange. Its answer, or its failure, is reported as an event. */
    public void send(RouterEffect.SendExchange exchange) {
        ElapsedClock.Mark requestedAt = mLease.requestMark();
        mClient.exchange(
                        mReport.get(),
                        exchange.cursor(),
                        position(),
                        exchange.crashes(),
                        exchange.loads(),
                        exchange.contention())
                .whenComplete((answer, failure) -> onAnswer(requestedAt, answer, failure));
    }

    private synchronized long position() {
        return mReader.position();
    }

    private void onAnswer(ElapsedClock.Mark requestedAt, ExchangeAnswer answer, Throwable failure) {
        if (failure != null) {
            mEvents.accept(new RouterEvent.ExchangeFailed(failure.getMessage()));
            return;
        }
        try {
            apply(requestedAt, answer);
        } catch (RuntimeException | Error e) {
            Program.haltOnError("an exchange with control was not taken in", e);
            sLogger.atSevere().withCause(e).log("an exchange with control was not taken in");
            // Without an event the next exchange would never be sent, and the settings would get
            // stale.
            mEvents.accept(new RouterEvent.ExchangeFailed(String.valueOf(e.getMessage())));
        }
    }

    private void apply(ElapsedClock.Mark requestedAt, ExchangeAnswer answer) {
        applySettings(requestedAt, answer);
        mOnControls.accept(answer.controls());
        mEvents.accept(
                new RouterEvent.ExchangeAnswered(
                        answer.membership(),
                        answer.crashes(),
                        answer.digest(),
                        answer.loads(),
                        answer.routers(),
                        answer.rules(),
                        answer.contention()));
        // Last, so that the first request served under the lease finds the backend servers.
        answer.settingsAge().ifPresent(age -> mLease.confirm(requestedAt, age));
    }

    private synchronized void applySettings(ElapsedClock.Mark requestedAt, ExchangeAnswer answer) {
        SettingsDelta delta = answer.settings();
        if (mReader.apply(delta)) {
            mSettings.setTree(mReader.tree());
            sLogger.atInfo().log(
                    "settings at %d in force: %d nodes from %s, asked for %d ms ago, confirmed: %s",
                    delta.position(),
                    delta.nodes().size(),
                    mClient.currentAddress(),
                    mLease.elapsedSince(requestedAt).toMillis(),
                    answer.settingsAge().map(a -> a.toMillis() + " ms ago").orElse("no"));
        }
        mMembershipReceived |= answer.membership().full();
        mFreshSettingsReceived |= !answer.possiblyStale();
    }

    /** Marks the router as stopping, from which on it is not ready. */
    public synchronized void markStopping() {
        mStopping = true;
    }

    @Override
    public synchronized Optional<String> notReadyReason() {
        if (mStopping) {
            return Optional.of("stopping");
        }
        if (!mMembershipReceived) {
            return Optional.of("no membership has arrived");
        }
        if (!mLease.isUsable() || !mLease.mayServeKeys()) {
            return Optional.of("settings are not confirmed");
        }
        if (mReader.position() == 0) {
            return Optional.of("no settings have arrived");
        }
        Instant timeout = mStarted.plus(SettingsLease.FRESH_SETTINGS_TIMEOUT);
        if (!mFreshSettingsReceived && mClock.instant().isBefore(timeout)) {
            return Optional.of("settings are possibly stale");
        }
        return Optional.empty();
    }
}
