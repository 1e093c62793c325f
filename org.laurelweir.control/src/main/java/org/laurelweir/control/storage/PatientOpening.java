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
 * Opens a storage once its disk takes writes. A process whose disk is full ends, is started again
 * at once, and would end again each second until there is room; each end takes the processor from
 * the router beside it. Waiting is safe, since a replica that has not opened its log neither votes
 * nor acknowledges.
 */
public final class PatientOpening {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** Between two tries; a disk that has room again is noticed well within an election. */
    private static final Duration PAUSE = Duration.ofMillis(250);

    /** Beyond this the failure is no passing one, and the operator should see the process end. */
    private static final Duration PATIENCE = Duration.ofMinutes(1);

    private final InstantSource mClock;
    private final Consumer<Duration> mSleep;

    /**
     * Creates an opening that has not begun.
     *
     * @param clock tells the time
     * @param sleep waits for a time
     */
    public PatientOpening(InstantSource clock, Consumer<Duration> sleep) {
        mClock = clock;
        mSleep = sleep;
    }

    /**
     * Opens a storage, again and again while its disk fails.
     *
     * @param open opens it, or throws; called at least once
     * @return the storage
     * @throws LaurelweirException DISK_FAILED after a minute of failures, or any other failure of
     *     the opening at once
     */
    public LogStorage open(Supplier<LogStorage> open) {
        Instant end = mClock.instant().plus(PATIENCE);
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
            mSleep.accept(PAUSE);
        }
    }
}
