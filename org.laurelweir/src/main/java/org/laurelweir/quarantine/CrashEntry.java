package org.laurelweir.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.quarantine.Crash.Owner;

/** The crashes of backend servers under one suspect that one process knows. */
final class CrashEntry {
    /**
     * Number of crashes without an excuse that quarantine a part of prompts which was served before
     * them. It may have begun to cause crashes, with another release of the servers, but most often
     * it is beside the cause, or beside chance crashes.
     */
    private static final int SERVED_PART_QUARANTINE_CRASHES = 8;

    /** Maximum number of trials of a quarantined suspect. */
    private static final int MAX_TRIALS = 3;

    /** Time from the last crash to the first trial; it doubles with each failed trial. */
    private static final Duration FIRST_TRIAL_DELAY = Duration.ofMinutes(10);

    /**
     * How long crashes under a suspect that is not quarantined are kept. Unrelated crashes under
     * one suspect are rarer than this.
     */
    private static final Duration SUSPECT_RETENTION = Duration.ofMinutes(10);

    /**
     * How long a suspect stays quarantined after its last crash. The crashes that it takes to
     * quarantine it again are acceptable at most once in this time.
     */
    private static final Duration QUARANTINE_RETENTION = Duration.ofDays(1);

    /**
     * Minimum time of a restart of a backend server; later answers do not excuse a crash. After a
     * restart under the same id, routers address the server as the earlier incarnation until they
     * learn of the restart, so its answers do not prove that there was no crash.
     */
    private static final Duration MIN_RESTART_TIME = Duration.ofSeconds(1);

    private final SuspectKey mKey;
    private final String mService;
    private final List<KnownCrash> mCrashes = new ArrayList<>();
    private Instant mLastTrial = Instant.MIN;
    private boolean mIsServedBefore;

    /** The table's version in which this entry changed last. */
    long mVersion;

    /** Whether the table's listener was told last that the suspect is quarantined. */
    boolean mIsToldQuarantined;

    CrashEntry(SuspectKey key, String service) {
        mKey = key;
        mService = service;
    }

    SuspectKey key() {
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
        if (mCrashes.size() >= mKey.kind().maxCrashes() && !removeExcused()) {
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

    /** Excuses the crashes in a service up to a time; returns whether any was not excused. */
    boolean excuseUntil(Instant time, String service) {
        return excuse(k -> !k.mTime.isAfter(time) && k.mOwner.service().equals(service));
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

    int crashCount() {
        return mCrashes.size();
    }

    int unexcusedCount() {
        return (int) unexcused().count();
    }

    /** Returns whether there are enough crashes to quarantine the suspect. */
    boolean isQuarantinable() {
        return unexcusedCount() >= quarantineCrashes();
    }

    /** Returns the number of crashes without an excuse that quarantine the suspect. */
    int quarantineCrashes() {
        return mIsServedBefore ? SERVED_PART_QUARANTINE_CRASHES : mKey.kind().quarantineCrashes();
    }

    /** Returns whether a process remembers that the part of prompts was served. */
    boolean isServedBefore() {
        return mIsServedBefore;
    }

    /** Records that a part of prompts was served before; returns whether that is new. */
    boolean setServedBefore() {
        boolean isNew = !mIsServedBefore;
        mIsServedBefore = true;
        return isNew;
    }

    /** Returns the servers whose crashes have no excuse, in a set of the caller's own. */
    Set<BackendRef> unexcusedServers() {
        return unexcused().map(k -> k.mServer).collect(Collectors.toCollection(HashSet::new));
    }

    /** Returns the services of all crashes. */
    Set<String> services() {
        return mCrashes.stream().map(k -> k.mOwner.service()).collect(Collectors.toSet());
    }

    /**
     * Returns whether the crashes concern requests of an account to a service. Crashes of one
     * account or service alone tell nothing about another one: an account may name any part in its
     * prompts, and another service has other models.
     */
    boolean concerns(String account, String service) {
        return (hasSeveralAccounts()
                        || unexcused().anyMatch(k -> k.mOwner.account().equals(account)))
                && (hasSeveralServices()
                        || unexcused().anyMatch(k -> k.mOwner.service().equals(service)));
    }

    /** Returns the only client account of all crashes, or empty if there are several. */
    Optional<String> onlyAccount() {
        return hasSeveralAccounts()
                ? Optional.empty()
                : mCrashes.stream().map(k -> k.mOwner.account()).findFirst();
    }

    private boolean hasSeveralAccounts() {
        return unexcused().anyMatch(k -> k.mOwner.severalAccounts())
                || unexcused().map(k -> k.mOwner.account()).distinct().count() > 1;
    }

    private boolean hasSeveralServices() {
        return unexcused().map(k -> k.mOwner.service()).distinct().count() > 1;
    }

    private Stream<KnownCrash> unexcused() {
        return mCrashes.stream().filter(k -> !k.mExcused);
    }

    /** Returns whether the process may try the quarantined suspect once, and records that trial. */
    boolean takeTrial(Instant now, String self) {
        int crashes = unexcusedCount();
        KnownCrash last = lastCrash();
        int trials = crashes - quarantineCrashes();
        boolean allowsTrial = trials >= 0 && trials < MAX_TRIALS;
        if (!allowsTrial || !last.mRouter.equals(self)) {
            return false;
        }
        Instant lastSent = mLastTrial.isAfter(last.mTime) ? mLastTrial : last.mTime;
        Duration delay = FIRST_TRIAL_DELAY.multipliedBy(1L << trials);
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
        Duration retention = isQuarantinable() ? QUARANTINE_RETENTION : SUSPECT_RETENTION;
        return lastCrashTime().plus(retention).isBefore(now);
    }

    List<BackendRef> servers() {
        return mCrashes.stream().map(k -> k.mServer).toList();
    }

    CrashRecord toRecord(Instant now) {
        List<Crash> crashes = mCrashes.stream().map(k -> k.toCrash(now)).toList();
        return new CrashRecord(mKey, mService, mIsServedBefore, crashes);
    }

    /** A crash with the time at which it was observed, by the clock of this process. */
    private static final class KnownCrash {
        private final BackendRef mServer;
        private final Instant mTime;
        private String mRouter;
        private boolean mExcused;
        private Owner mOwner;

        KnownCrash(Crash c, Instant now) {
            mServer = c.server();
            mTime = now.minus(c.age());
            mRouter = c.router();
            mExcused = c.excused();
            mOwner = c.owner();
        }

        /** Merges a record of the same crash; returns whether it changed this one. */
        boolean merge(Crash c) {
            boolean excuses = c.excused() && !mExcused;
            boolean precedes = c.router().compareTo(mRouter) < 0;
            Owner merged = mOwner.merge(c.owner());
            boolean addsOwner = !merged.equals(mOwner);
            mExcused |= excuses;
            mRouter = precedes ? c.router() : mRouter;
            mOwner = merged;
            return excuses || precedes || addsOwner;
        }

        /**
         * Returns whether the answer to a request sent at that time proves that there was no crash.
         */
        boolean isDisprovedBy(Instant requestTime) {
            return mTime.isBefore(requestTime)
                    && requestTime.isBefore(mTime.plus(MIN_RESTART_TIME));
        }

        Crash toCrash(Instant now) {
            return new Crash(mServer, mRouter, Duration.between(mTime, now), mExcused, mOwner);
        }
    }
}
