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
    static final int QUARANTINED_FROM = 3;

    static final int MOST_CRASHES = 8;

    /** Ends from which on nobody tries again by itself: three more than quarantine takes. */
    private static final int TRIED_BELOW = QUARANTINED_FROM + 3;

    /** From the last end to the first trial; doubles with each. */
    private static final Duration TRIAL_AFTER = Duration.ofMinutes(10);

    /** Chance ends of backend servers under one request are rarer than this. */
    private static final Duration SUSPECTED_FOR = Duration.ofMinutes(10);

    /** Long against the ends that it costs until the request is known again. */
    private static final Duration QUARANTINED_FOR = Duration.ofDays(1);

    /**
     * A backend server takes longer to start again. One that does so under its name may be sent
     * requests as the run that ended, until routers are told, and its answers prove nothing.
     */
    private static final Duration LEAST_RESTART = Duration.ofSeconds(1);

    private final RequestKey mKey;
    private final String mService;
    private final List<Known> mCrashes = new ArrayList<>();
    private Instant mTried = Instant.MIN;

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
            changed |= c.age().compareTo(QUARANTINED_FOR) < 0 && add(now, c);
        }
        return changed;
    }

    private boolean add(Instant now, Crash c) {
        for (Known k : mCrashes) {
            if (k.mServer.equals(c.server())) {
                return k.merge(c);
            }
        }
        if (mCrashes.size() >= MOST_CRASHES && !dropExcused()) {
            return false;
        }
        mCrashes.add(new Known(c, now));
        return true;
    }

    private boolean dropExcused() {
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

    private boolean excuse(Predicate<Known> which) {
        boolean changed = false;
        for (Known k : mCrashes) {
            if (!k.mExcused && which.test(k)) {
                k.mExcused = true;
                changed = true;
            }
        }
        return changed;
    }

    int unexcused() {
        return (int) mCrashes.stream().filter(k -> !k.mExcused).count();
    }

    boolean isQuarantined() {
        return unexcused() >= QUARANTINED_FROM;
    }

    /** Returns whether the process may send the request once, and notes that it does. */
    boolean takeTrial(Instant now, String self) {
        int ends = unexcused();
        Known last = last();
        boolean tried = ends >= QUARANTINED_FROM && ends < TRIED_BELOW;
        if (!tried || !last.mRouter.equals(self)) {
            return false;
        }
        Instant latest = mTried.isAfter(last.mAt) ? mTried : last.mAt;
        Duration wait = TRIAL_AFTER.multipliedBy(1L << (ends - QUARANTINED_FROM));
        if (now.isBefore(latest.plus(wait))) {
            return false;
        }
        mTried = now;
        return true;
    }

    private Known last() {
        return mCrashes.stream().max(Comparator.comparing(k -> k.mAt)).orElseThrow();
    }

    Instant lastAt() {
        return last().mAt;
    }

    boolean isOld(Instant now) {
        Duration kept = isQuarantined() ? QUARANTINED_FOR : SUSPECTED_FOR;
        return lastAt().plus(kept).isBefore(now);
    }

    List<BackendRef> servers() {
        return mCrashes.stream().map(k -> k.mServer).toList();
    }

    CrashRecord record(Instant now) {
        return new CrashRecord(mKey, mService, mCrashes.stream().map(k -> k.crash(now)).toList());
    }

    private static final class Known {
        private final BackendRef mServer;
        private final Instant mAt;
        private String mRouter;
        private boolean mExcused;

        Known(Crash c, Instant now) {
            mServer = c.server();
            mAt = now.minus(c.age());
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
            return mAt.isBefore(asked) && asked.isBefore(mAt.plus(LEAST_RESTART));
        }

        Crash crash(Instant now) {
            return new Crash(mServer, mRouter, Duration.between(mAt, now), mExcused);
        }
    }
}
