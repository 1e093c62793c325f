package org.laurelweir.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.laurelweir.lib.BackendRef;

/**
 * Which backend servers ended under which requests, as far as one process knows. Routers and
 * control instances keep one each and tell each other what changed.
 *
 * <p>Several requests are at a backend server when it ends, and one end says nothing of which
 * caused it. The cause is at every further end and is never served, while the others are served
 * when they come again. A crash is only ever added, or excused for good, so that processes that
 * have told each other everything agree, whatever the order of their messages.
 *
 * <p>Bounded in requests, requests of an account and crashes of a request.
 */
public final class CrashTable {
    /** Ends without an excuse from which on a request is kept away from backend servers. */
    public static final int QUARANTINED_FROM = 3;

    /** Most records that one message tells; the rest follows with the next one. */
    static final int MOST_TOLD = 64;

    static final int MOST_REQUESTS = 1024;

    /** An account with more loses its own oldest, and can't push out those of others. */
    static final int MOST_OF_ACCOUNT = 64;

    static final int MOST_CRASHES = 8;

    /** Chance ends of backend servers under one request are rarer than this. */
    private static final Duration SUSPECTED_FOR = Duration.ofMinutes(10);

    /** Long against the ends that it costs until the request is known again. */
    private static final Duration QUARANTINED_FOR = Duration.ofDays(1);

    /** Ends from which on nobody tries again by itself: three more than quarantine takes. */
    private static final int TRIED_BELOW = QUARANTINED_FROM + 3;

    /** From the last end to the first trial; doubles with each. */
    private static final Duration TRIAL_AFTER = Duration.ofMinutes(10);

    /**
     * A backend server takes longer to start again. One that does so under its name may be sent
     * requests as the run that ended, until routers are told, and its answers prove nothing.
     */
    private static final Duration LEAST_RESTART = Duration.ofSeconds(1);

    private final String mSelf;
    private final QuarantineListener mListener;
    private final Map<RequestKey, Entry> mEntries = new HashMap<>();
    private final NavigableMap<Long, Entry> mChanges = new TreeMap<>();

    /** Backend servers that are in some crash, so that answers of others cost nothing. */
    private final Set<BackendRef> mEnded = new HashSet<>();

    private long mVersion;

    /**
     * Creates an empty table.
     *
     * @param self the name of the process
     * @param listener told of each request that is kept away from now on, or not any more
     */
    public CrashTable(String self, QuarantineListener listener) {
        mSelf = self;
        mListener = listener;
    }

    /** Returns whether no backend server is known to have ended under any request. */
    public boolean isEmpty() {
        return mEntries.isEmpty();
    }

    /** Returns the requests that are kept away from backend servers. */
    public List<CrashRecord> quarantined(Instant now) {
        return mEntries.values().stream()
                .filter(Entry::isQuarantined)
                .map(e -> e.record(now))
                .toList();
    }

    /** Returns whether a request is kept away from backend servers. */
    public boolean isQuarantined(RequestKey key) {
        Entry e = mEntries.get(key);
        return e != null && e.isQuarantined();
    }

    /**
     * Lets a request that is kept away be sent once, so that a mended backend server is noticed.
     * Only the router that saw the last end does so: without a message between them, no two try at
     * the same time. Each end makes the next trial later, and after three there is none.
     *
     * @return whether it is to be sent
     */
    public boolean takeTrial(Instant now, RequestKey key) {
        Entry e = mEntries.get(key);
        return e != null && e.takeTrial(now, mSelf);
    }

    /** Returns whether some backend server ended under a request that may have caused it. */
    public boolean isSuspect(RequestKey key) {
        Entry e = mEntries.get(key);
        return e != null && e.unexcused() > 0;
    }

    /** Returns what is known of a request. */
    public Optional<CrashRecord> find(Instant now, RequestKey key) {
        return Optional.ofNullable(mEntries.get(key)).map(e -> e.record(now));
    }

    /** Notes that a backend server ended while it had a request. */
    public void crashed(Instant now, RequestKey key, String service, BackendRef server) {
        Crash crash = new Crash(server, mSelf, Duration.ZERO, false);
        mergeOne(now, new CrashRecord(key, service, List.of(crash)));
    }

    /**
     * Notes that a request was served, or that an operator vouches for it: none of the ends under
     * it was its doing.
     */
    public void served(Instant now, RequestKey key) {
        Entry e = mEntries.get(key);
        if (e != null) {
            excuse(now, e, c -> true);
        }
    }

    /**
     * Notes that a backend server answered: where it was taken for ended before, it had not.
     *
     * @param server the run that answered
     * @param asked when it was sent the request that it answered
     */
    public void survived(Instant now, BackendRef server, Instant asked) {
        if (mEnded.contains(server)) {
            for (Entry e : mEntries.values()) {
                excuse(now, e, c -> c.mServer.equals(server) && c.isDisprovedBy(asked));
            }
        }
    }

    private void excuse(Instant now, Entry e, Predicate<Known> excused) {
        boolean before = e.isQuarantined();
        boolean changed = false;
        for (Known c : e.mCrashes) {
            if (!c.mExcused && excused.test(c)) {
                c.mExcused = true;
                changed = true;
            }
        }
        if (changed) {
            change(now, e, before);
        }
    }

    /**
     * Takes what another process told.
     *
     * @return whether anything of it was new
     */
    public boolean merge(Instant now, List<CrashRecord> records) {
        boolean changed = false;
        for (CrashRecord r : records) {
            changed |= mergeOne(now, r);
        }
        return changed;
    }

    private boolean mergeOne(Instant now, CrashRecord r) {
        boolean known = mEntries.containsKey(r.key());
        Entry e = known ? mEntries.get(r.key()) : new Entry(r.key(), r.service());
        boolean before = e.isQuarantined();
        boolean changed = false;
        for (Crash c : r.crashes()) {
            changed |= c.age().compareTo(QUARANTINED_FOR) < 0 && e.add(now, c);
        }
        if (!changed) {
            return false;
        }
        if (!known) {
            makeRoom(r.key().account());
            mEntries.put(r.key(), e);
        }
        r.crashes().forEach(c -> mEnded.add(c.server()));
        change(now, e, before);
        return true;
    }

    private void change(Instant now, Entry e, boolean before) {
        mChanges.remove(e.mVersion);
        e.mVersion = ++mVersion;
        mChanges.put(e.mVersion, e);
        if (before != e.isQuarantined()) {
            mListener.changed(e.record(now), !before);
        }
    }

    private void makeRoom(String account) {
        List<Entry> own =
                mEntries.values().stream().filter(e -> e.mKey.account().equals(account)).toList();
        if (own.size() >= MOST_OF_ACCOUNT) {
            removeLeastTelling(own);
        } else if (mEntries.size() >= MOST_REQUESTS) {
            removeLeastTelling(List.copyOf(mEntries.values()));
        }
    }

    private void removeLeastTelling(List<Entry> entries) {
        entries.stream()
                .min(
                        Comparator.comparingInt(Entry::unexcused)
                                .thenComparing(Entry::newest)
                                .thenComparingLong(e -> e.mVersion))
                .ifPresent(this::remove);
    }

    private void remove(Entry e) {
        mEntries.remove(e.mKey);
        mChanges.remove(e.mVersion);
    }

    /** Returns a number that rises with every change. */
    public long version() {
        return mVersion;
    }

    /**
     * Returns what changed after a version, the oldest changes first.
     *
     * @param version how far the reader's copy reaches, 0 for a reader that has nothing
     */
    public CrashDelta since(Instant now, long version) {
        List<CrashRecord> records = new ArrayList<>();
        long reached = version;
        Iterator<Entry> changed = mChanges.tailMap(version, false).values().iterator();
        while (changed.hasNext() && records.size() < MOST_TOLD) {
            Entry e = changed.next();
            records.add(e.record(now));
            reached = e.mVersion;
        }
        return new CrashDelta(changed.hasNext() ? reached : mVersion, records);
    }

    /** Forgets requests under which no backend server has ended for long. */
    public void forget(Instant now) {
        List<Entry> old = mEntries.values().stream().filter(e -> e.isOld(now)).toList();
        for (Entry e : old) {
            remove(e);
            if (e.isQuarantined()) {
                mListener.changed(e.record(now), false);
            }
        }
        if (mEntries.isEmpty()) {
            mEnded.clear();
        }
    }

    private static final class Entry {
        private final RequestKey mKey;
        private final String mService;
        private final List<Known> mCrashes = new ArrayList<>();
        private Instant mTried = Instant.MIN;
        private long mVersion;

        Entry(RequestKey key, String service) {
            mKey = key;
            mService = service;
        }

        /** Adds a crash, or its excuse; returns whether that was new. */
        boolean add(Instant now, Crash c) {
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

        int unexcused() {
            return (int) mCrashes.stream().filter(k -> !k.mExcused).count();
        }

        boolean isQuarantined() {
            return unexcused() >= QUARANTINED_FROM;
        }

        boolean takeTrial(Instant now, String self) {
            int ends = unexcused();
            Known last = last();
            if (ends >= TRIED_BELOW || !last.mRouter.equals(self)) {
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

        Instant newest() {
            return last().mAt;
        }

        boolean isOld(Instant now) {
            Duration kept = isQuarantined() ? QUARANTINED_FOR : SUSPECTED_FOR;
            return newest().plus(kept).isBefore(now);
        }

        CrashRecord record(Instant now) {
            return new CrashRecord(
                    mKey, mService, mCrashes.stream().map(k -> k.crash(now)).toList());
        }
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
