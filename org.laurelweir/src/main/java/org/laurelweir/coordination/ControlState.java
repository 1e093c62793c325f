package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.laurelweir.coordination.CommandResult.DrainResult;
import org.laurelweir.coordination.CommandResult.FenceResult;
import org.laurelweir.coordination.CommandResult.SettingsResult;
import org.laurelweir.coordination.CommandResult.SettleResult;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.settings.SettingsState;
import org.laurelweir.settings.SettingsStore;

/**
 * The state machine over the replicated log: settings, claims, fencing numbers and drain orders.
 * Replicas that apply the same commands at the same positions hold equal states and give equal
 * results.
 */
public final class ControlState {
    private final Limits mLimits;
    private final ClaimTable mClaims;
    private final TreeMap<String, Long> mFences = new TreeMap<>();
    private final TreeMap<String, DrainOrder> mDrains = new TreeMap<>();
    private SettingsStore mSettings;
    private Instant mLogTime = Instant.EPOCH;

    /**
     * How much is kept; the same on every replica.
     *
     * @param settings history and first answers of settings changes
     * @param maxClaims idempotency keys in use
     * @param maxRetention the longest time that a claim is kept
     */
    public record Limits(SettingsStore.Limits settings, int maxClaims, Duration maxRetention) {
        /** Half an hour of claims at one in ten of 11,000 requests a second, five hours at 1%. */
        public static final Limits DEFAULT =
                new Limits(SettingsStore.Limits.DEFAULT, 2_000_000, Duration.ofDays(7));
    }

    /**
     * Creates the state before the first command.
     *
     * @param limits how much is kept
     */
    public ControlState(Limits limits) {
        mLimits = limits;
        mClaims = new ClaimTable(limits.maxClaims(), limits.maxRetention());
        mSettings = new SettingsStore(SettingsState.EMPTY, limits.settings());
    }

    /**
     * Applies a command.
     *
     * @param index its position in the log; rises from call to call
     * @param command the command
     * @return what it came to
     */
    public CommandResult apply(long index, Command command) {
        // A new leader's clock may be behind its predecessor's; the log's time never goes back.
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

    /** Returns whether an operator wants a backend server drained. */
    public boolean isDrainOrdered(String backend) {
        return mDrains.containsKey(backend);
    }

    /** Returns the highest fencing number given for a backend server, 0 if none was. */
    public long fence(String backend) {
        return mFences.getOrDefault(backend, 0L);
    }

    /** Returns how many idempotency keys are in use. */
    public int claimCount() {
        return mClaims.size();
    }

    /** Returns all that the state remembers. */
    public Snapshot snapshot() {
        return new Snapshot(
                mLogTime,
                mSettings.state(),
                mClaims.all(),
                Map.copyOf(mFences),
                List.copyOf(mDrains.values()));
    }

    /**
     * Replaces the state by what another one remembered.
     *
     * @param snapshot as {@link #snapshot()} gave it
     */
    public void restore(Snapshot snapshot) {
        mLogTime = snapshot.time();
        mSettings = new SettingsStore(snapshot.settings(), mLimits.settings());
        mClaims.restore(snapshot.claims());
        mFences.clear();
        mFences.putAll(snapshot.fences());
        mDrains.clear();
        snapshot.drains().forEach(d -> mDrains.put(d.backend(), d));
    }

    /**
     * All that a state remembers.
     *
     * @param time the log's time
     * @param settings the settings with their history
     * @param claims the idempotency keys in use, the first to expire first
     * @param fences the highest fencing number of each backend server that has one
     * @param drains the drain orders in force
     */
    public record Snapshot(
            Instant time,
            SettingsState settings,
            List<Claim> claims,
            Map<String, Long> fences,
            List<DrainOrder> drains) {}
}
