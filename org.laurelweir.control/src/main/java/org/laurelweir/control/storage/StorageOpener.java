package org.laurelweir.control.storage;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;

/**
 * Opens a storage and retries while its disk rejects writes. If the process ended instead, it would
 * be restarted at once and end again each second until the disk has space, and each restart takes
 * processor time from the router on the same instance. Waiting is safe, since a replica that has
 * not opened its log neither votes nor acknowledges.
 */
public final class StorageOpener {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /**
     * Interval between two attempts. It is well below the election timeout, so a disk with space
     * again is used before the next election.
     */
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(250);

    /**
     * After this time the failure is not transient, and the operator should see the process end.
     */
    private static final Duration MAX_RETRY_TIME = Duration.ofMinutes(1);

    private final InstantSource mClock;
    private final Consumer<Duration> mSleep;

    /**
     * Creates an opener.
     *
     * @param clock tells the current time
     * @param sleep blocks for the given duration
     */
    public StorageOpener(InstantSource clock, Consumer<Duration> sleep) {
        mClock = clock;
        mSleep = sleep;
    }

    /**
     * Opens a storage and retries while its disk fails.
     *
     * @param open opens the storage or throws; called at least once
     * @return the opened storage
     * @throws LaurelweirException {@code DISK_FAILED} after a minute of failures; any other failure
     *     of {@code open} at once
     */
    public LogStorage open(Supplier<LogStorage> open) {
        Instant end = mClock.instant().plus(MAX_RETRY_TIME);
        while (true) {
            try {
                return open.get();
            } catch (LaurelweirException e) {
                if (e.getCode() != ResultCode.DISK_FAILED || mClock.instant().isAfter(end)) {
                    throw e;
                }
                sLogger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                        "the log can't be opened, tried again: %s", e);
            }
            mSleep.accept(RETRY_INTERVAL);
        }
    }
}
