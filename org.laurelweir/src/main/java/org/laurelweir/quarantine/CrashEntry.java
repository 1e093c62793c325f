package org.laurelweir.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import org.laurelweir.lib.BackendRef;

/** The ends of backend servers under one request, as one process knows them. */
final class CrashEntry {
    /** Ends without an excuse from which on a request is kept away from backend servers. */
    static final int QUARANTINE_CRASHES = 3;

    static final int MAX_CRASHES = 8;

    /** Ends from which on nobody tries again by itself: three more than quarantine takes. */
    private static final int MAX_TRIAL_CRASHES = QUARANTINE_CRASHES + 3;

    /** From the last end to the first trial; doubles with each. */
    private static final Duration FIRST_TRIAL_DELAY = Duration.ofMinutes(10);

    /** Chance ends of backend servers under one request are rarer than this. */
    private static final Duration SUSPECT_RETENTION = Duration.ofMinutes(10);

    /** Long against the ends that it costs until the request is known again. */
    private static final Duration QUARANTINE_RETENTION = Duration.ofDays(1);

    /**
     * A backend server takes longer to start again. One that does so under its name may be sent
     * requests as the run that ended, until routers are told, and its answers prove nothing.
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

    /**
     * Adds ends and excuses that another process, or this one, tells; returns whether any is new.
     */
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

    /** Excuses every end; returns whether any was not excused. */
    boolean excuseAll() {
        return excuse(k -> true);
    }

    /**
     * Excuses the end of a backend server that answered what it was asked after it; returns whether
     * that was new.
     */
    boolean excuse(BackendRef server, Instant asked) {
        return excuse(k -> k.mServer.equals(server) && k.isDisprovedBy(asked));
    }

    private boolean excuse(Predicate<KnownCrash> which) {
        boolean changed = false;
        for (KnownCrash k : mCrashes) {
            if (!k.mExcused && which.test(k)) {
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

    /** Returns whether the process may send the request once, and notes that it does. */
    boolean takeTrial(Instant now, String self) {
        int ends = unexcusedCount();
        KnownCrash last = lastCrash();
        boolean tried = ends >= QUARANTINE_CRASHES && ends < MAX_TRIAL_CRASHES;
        if (!tried || !last.mRouter.equals(self)) {
            return false;
        }
        Instant latest = mLastTrial.isAfter(last.mTime) ? mLastTrial : last.mTime;
        Duration wait = FIRST_TRIAL_DELAY.multipliedBy(1L << (ends - QUARANTINE_CRASHES));
        if (now.isBefore(latest.plus(wait))) {
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
        Duration kept = isQuarantined() ? QUARANTINE_RETENTION : SUSPECT_RETENTION;
        return lastCrashTime().plus(kept).isBefore(now);
    }

    List<BackendRef> servers() {
        return mCrashes.stream().map(k -> k.mServer).toList();
    }

    CrashRecord toRecord(Instant now) {
        return new CrashRecord(mKey, mService, mCrashes.stream().map(k -> k.toCrash(now)).toList());
    }

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

        /** Takes what another process knows of the same end; returns whether it was new. */
        boolean merge(Crash c) {
            boolean excuses = c.excused() && !mExcused;
            boolean precedes = c.router().compareTo(mRouter) < 0;
            mExcused |= excuses;
            mRouter = precedes ? c.router() : mRouter;
            return excuses || precedes;
        }

        /** Returns whether an answer to what was asked then shows that there was no end. */
        boolean isDisprovedBy(Instant asked) {
            return mTime.isBefore(asked) && asked.isBefore(mTime.plus(MIN_RESTART_TIME));
        }

        Crash toCrash(Instant now) {
            return new Crash(mServer, mRouter, Duration.between(mTime, now), mExcused);
        }
    }
}
