package org.laurelweir.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import org.laurelweir.lib.BackendRef;

/** The crashes of backend servers under one request that one process knows. */
final class CrashEntry {
    /** Number of crashes without an excuse that quarantines a request. */
    static final int QUARANTINE_CRASHES = 3;

    /** Maximum number of recorded crashes of a request. */
    static final int MAX_CRASHES = 8;

    /** From this number of crashes on there are no trials; it allows three of them. */
    private static final int TRIAL_CRASH_LIMIT = QUARANTINE_CRASHES + 3;

    /** Time from the last crash to the first trial; it doubles with each failed trial. */
    private static final Duration FIRST_TRIAL_DELAY = Duration.ofMinutes(10);

    /**
     * How long crashes under a request that is not quarantined are kept. Unrelated crashes under
     * one request are rarer than this.
     */
    private static final Duration SUSPECT_RETENTION = Duration.ofMinutes(10);

    /**
     * How long a request stays quarantined after its last crash. The crashes that it takes to
     * quarantine it again are acceptable at most once in this time.
     */
    private static final Duration QUARANTINE_RETENTION = Duration.ofDays(1);

    /**
     * Minimum time of a restart of a backend server; later answers do not excuse a crash. After a
     * restart under the same id, routers address the server as the earlier incarnation until they
     * learn of the restart, so its answers do not prove that there was no crash.
     */
    private static final Duration MIN_RESTART_TIME = Duration.ofSeconds(1);

    private final RequestKey mKey;
    private final String mService;
    private final List<KnownCrash> mCrashes = new ArrayList<>();
    private Instant mLastTrial = Instant.MIN;

    /** The table's version in which this entry changed last. */
    long mVersion;

    CrashEntry(RequestKey key, String service) {
        mKey = key;
        mService = service;
    }

    RequestKey key() {
        return mKey;
    }

    /** Adds crashes and excuses from this or another process; returns whether any is new. */
    boolean add(Instant now, List<Crash> crashes) {
        boolean changed = false;
        for (Crash c : crashes) {
            changed |= c.age().compareTo(QUARANTINE_RETENTION) < 0 && add(now, c);
        }
        return changed;
    }

    private boolean add(Instant now, Crash c) {
        for (KnownCrash k : mCrashes) {
            if (k.mServer.equals(c.server())) {
                return k.merge(c);
            }
        }
        if (mCrashes.size() >= MAX_CRASHES && !removeExcused()) {
            return false;
        }
        mCrashes.add(new KnownCrash(c, now));
        return true;
    }

    private boolean removeExcused() {
        return mCrashes.stream()
                .filter(k -> k.mExcused)
                .findFirst()
                .map(mCrashes::remove)
                .orElse(false);
    }

    /** Excuses all crashes; returns whether any was not excused. */
    boolean excuseAll() {
        return excuse(k -> true);
    }

    /**
     * Excuses the supposed crash of a backend server that answered a request sent after it; returns
     * whether any crash was not excused.
     */
    boolean excuse(BackendRef server, Instant requestTime) {
        return excuse(k -> k.mServer.equals(server) && k.isDisprovedBy(requestTime));
    }

    private boolean excuse(Predicate<KnownCrash> condition) {
        boolean changed = false;
        for (KnownCrash k : mCrashes) {
            if (!k.mExcused && condition.test(k)) {
                k.mExcused = true;
                changed = true;
            }
        }
        return changed;
    }

    int unexcusedCount() {
        return (int) mCrashes.stream().filter(k -> !k.mExcused).count();
    }

    boolean isQuarantined() {
        return unexcusedCount() >= QUARANTINE_CRASHES;
    }

    /**
     * Returns whether the process may send the quarantined request once, and records that trial.
     */
    boolean takeTrial(Instant now, String self) {
        int crashes = unexcusedCount();
        KnownCrash last = lastCrash();
        boolean allowsTrial = crashes >= QUARANTINE_CRASHES && crashes < TRIAL_CRASH_LIMIT;
        if (!allowsTrial || !last.mRouter.equals(self)) {
            return false;
        }
        Instant lastSent = mLastTrial.isAfter(last.mTime) ? mLastTrial : last.mTime;
        Duration delay = FIRST_TRIAL_DELAY.multipliedBy(1L << (crashes - QUARANTINE_CRASHES));
        if (now.isBefore(lastSent.plus(delay))) {
            return false;
        }
        mLastTrial = now;
        return true;
    }

    private KnownCrash lastCrash() {
        return mCrashes.stream().max(Comparator.comparing(k -> k.mTime)).orElseThrow();
    }

    Instant lastCrashTime() {
        return lastCrash().mTime;
    }

    boolean isExpired(Instant now) {
        Duration retention = isQuarantined() ? QUARANTINE_RETENTION : SUSPECT_RETENTION;
        return lastCrashTime().plus(retention).isBefore(now);
    }

    List<BackendRef> servers() {
        return mCrashes.stream().map(k -> k.mServer).toList();
    }

    CrashRecord toRecord(Instant now) {
        return new CrashRecord(mKey, mService, mCrashes.stream().map(k -> k.toCrash(now)).toList());
    }

    /** A crash with the time at which it was observed, by the clock of this process. */
    private static final class KnownCrash {
        private final BackendRef mServer;
        private final Instant mTime;
        private String mRouter;
        private boolean mExcused;

        KnownCrash(Crash c, Instant now) {
            mServer = c.server();
            mTime = now.minus(c.age());
            mRouter = c.router();
            mExcused = c.excused();
        }

        /** Merges a record of the same crash; returns whether it changed this one. */
        boolean merge(Crash c) {
            boolean excuses = c.excused() && !mExcused;
            boolean precedes = c.router().compareTo(mRouter) < 0;
            mExcused |= excuses;
            mRouter = precedes ? c.router() : mRouter;
            return excuses || precedes;
        }

        /**
         * Returns whether the answer to a request sent at that time proves that there was no crash.
         */
        boolean isDisprovedBy(Instant requestTime) {
            return mTime.isBefore(requestTime)
                    && requestTime.isBefore(mTime.plus(MIN_RESTART_TIME));
        }

        Crash toCrash(Instant now) {
            return new Crash(mServer, mRouter, Duration.between(mTime, now), mExcused);
        }
    }
}
