package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.laurelweir.coordination.CommandResult.DepartureResult;
import org.laurelweir.coordination.CommandResult.DrainResult;
import org.laurelweir.coordination.CommandResult.FenceResult;
import org.laurelweir.coordination.CommandResult.SettingsResult;
import org.laurelweir.coordination.CommandResult.SettleResult;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.membership.Departure;
import org.laurelweir.membership.DrainedDataCentres;
import org.laurelweir.settings.SettingsState;
import org.laurelweir.settings.SettingsStore;

/**
 * The state machine of the replicated log: settings, claims, fencing tokens, drain orders of
 * backend servers and data centres, and departures of backend servers. Replicas that apply the same
 * commands at the same log positions have equal states and return equal results.
 */
public final class ControlState {
    private final Limits mLimits;
    private final ClaimTable mClaims;
    private final TreeMap<String, Long> mFences = new TreeMap<>();
    private final TreeMap<String, DrainOrder> mDrains = new TreeMap<>();
    private final DepartureTable mDepartures = new DepartureTable();
    private final DataCentreDrains mDataCentreDrains = new DataCentreDrains();
    private SettingsStore mSettings;
    private Instant mLogTime = Instant.EPOCH;

    /**
     * Limits of the state; they must be the same on every replica.
     *
     * @param settings limits for the history and the recorded answers of settings changes
     * @param maxClaims maximum number of idempotency keys in use
     * @param maxRetention maximum retention of a claim
     */
    public record Limits(SettingsStore.Limits settings, int maxClaims, Duration maxRetention) {
        /**
         * The default limits. 2,000,000 claims cover half an hour if 10% of 11,000 requests a
         * second make a claim, and five hours at 1%.
         */
        public static final Limits DEFAULT =
                new Limits(SettingsStore.Limits.DEFAULT, 2_000_000, Duration.ofDays(7));
    }

    /**
     * Creates the state before the first command.
     *
     * @param limits limits of the state
     */
    public ControlState(Limits limits) {
        mLimits = limits;
        mClaims = new ClaimTable(limits.maxClaims(), limits.maxRetention());
        mSettings = new SettingsStore(SettingsState.EMPTY, limits.settings());
    }

    /**
     * Applies a command.
     *
     * @param index the command's position in the log; rises from call to call
     * @param command the command
     * @return the result of the command
     */
    public CommandResult apply(long index, Command command) {
        // The log's time never goes back, although a new leader's clock may be behind its
        // predecessor's.
        mLogTime = mLogTime.isAfter(command.timestamp()) ? mLogTime : command.timestamp();
        Command c = command.withTimestamp(mLogTime);
        if (c instanceof Command.ChangeSettings s) {
            return new SettingsResult(mSettings.apply(index, s));
        }
        if (c instanceof Command.ReplaceSettings s) {
            return new SettingsResult(mSettings.replace(index, s));
        }
        if (c instanceof Command.PatchSettings s) {
            return new SettingsResult(mSettings.patch(index, s));
        }
        if (c instanceof Command.Claim s) {
            return mClaims.apply(s);
        }
        if (c instanceof Command.SettleClaim s) {
            return new SettleResult(mClaims.apply(s));
        }
        if (c instanceof Command.Drain s) {
            return drain(s);
        }
        if (c instanceof Command.DrainDataCentre s) {
            mDataCentreDrains.apply(index, s);
            return new DrainResult(ResultCode.OK);
        }
        if (c instanceof Command.RecordDeparture s) {
            mDepartures.apply(s);
            return new DepartureResult(ResultCode.OK);
        }
        return new FenceResult(
                ResultCode.OK, mFences.merge(((Command.IssueFence) c).backend(), 1L, Long::sum));
    }

    private DrainResult drain(Command.Drain c) {
        if (c.drain()) {
            mDrains.putIfAbsent(
                    c.backend(), new DrainOrder(c.backend(), c.author(), c.timestamp()));
        } else {
            mDrains.remove(c.backend());
        }
        return new DrainResult(ResultCode.OK);
    }

    /** Returns the settings. */
    public SettingsStore settings() {
        return mSettings;
    }

    /** Returns whether an operator has ordered to drain a backend server. */
    public boolean isDrainOrdered(String backend) {
        return mDrains.containsKey(backend);
    }

    /** Returns the data centres that operators have ordered to drain. */
    public DrainedDataCentres drainedDataCentres() {
        return mDataCentreDrains.current();
    }

    /** Returns the drain orders of data centres, sorted by name. */
    public List<DataCentreDrain> dataCentreDrains() {
        return mDataCentreDrains.all();
    }

    /** Returns the departures of backend servers that were acknowledged lately. */
    DepartureTable departures() {
        return mDepartures;
    }

    /** Returns the highest fencing token issued for a backend server, or 0 if none was issued. */
    public long highestFence(String backend) {
        return mFences.getOrDefault(backend, 0L);
    }

    /** Returns the number of idempotency keys in use. */
    public int claimCount() {
        return mClaims.size();
    }

    /** Returns a copy of the whole state. */
    public Snapshot snapshot() {
        return new Snapshot(
                mLogTime,
                mSettings.state(),
                mClaims.all(),
                Map.copyOf(mFences),
                List.copyOf(mDrains.values()),
                mDataCentreDrains.current().position(),
                mDataCentreDrains.all(),
                mDepartures.all());
    }

    /**
     * Replaces the state with a snapshot.
     *
     * @param snapshot a result of {@link #snapshot()}
     */
    public void restore(Snapshot snapshot) {
        mLogTime = snapshot.time();
        mSettings = new SettingsStore(snapshot.settings(), mLimits.settings());
        mClaims.restore(snapshot.claims());
        mFences.clear();
        mFences.putAll(snapshot.fences());
        mDrains.clear();
        snapshot.drains().forEach(d -> mDrains.put(d.backend(), d));
        mDataCentreDrains.restore(snapshot.dataCentreDrainsPosition(), snapshot.dataCentreDrains());
        mDepartures.restore(snapshot.departures());
    }

    /**
     * A copy of the whole state.
     *
     * @param time the log's time
     * @param settings the settings with their history
     * @param claims the claims in the order in which they expire
     * @param fences the highest fencing token of each backend server that has one
     * @param drains the drain orders of backend servers in force
     * @param dataCentreDrainsPosition the log position of the last change to the drained data
     *     centres
     * @param dataCentreDrains the drain orders of data centres in force
     * @param departures the departures of backend servers in the order in which they were recorded
     */
    public record Snapshot(
            Instant time,
            SettingsState settings,
            List<Claim> claims,
            Map<String, Long> fences,
            List<DrainOrder> drains,
            long dataCentreDrainsPosition,
            List<DataCentreDrain> dataCentreDrains,
            List<Departure> departures) {}
}
