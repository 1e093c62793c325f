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
import org.laurelweir.lib.BackendRef;

/**
 * Which backend servers ended under which requests, as far as one process knows. Routers and
 * control instances keep one each and tell each other what changed.
 *
 * <p>Several requests are at a backend server when it ends, and one end says nothing of which
 * caused it. The cause is at every further end and is never served, while the others are served
 * when they come again. An end is only ever added, or excused for good, so that processes that have
 * told each other everything agree, whatever the order of their messages.
 *
 * <p>Bounded in requests, requests of an account and ends of a request.
 */
public final class CrashTable {
    /** Most records that one message tells; the rest follows with the next one. */
    public static final int MAX_RECORDS_PER_MESSAGE = 32;

    static final int MAX_REQUESTS = 1024;

    /** An account with more loses its own oldest, and can't push out those of others. */
    static final int MAX_REQUESTS_PER_ACCOUNT = 64;

    private static final Duration EXPIRE_INTERVAL = Duration.ofSeconds(1);

    private final String mSelf;
    private final QuarantineListener mListener;
    private final Map<RequestKey, CrashEntry> mEntries = new HashMap<>();
    private final NavigableMap<Long, CrashEntry> mChanges = new TreeMap<>();

    /** Backend servers that are in some entry, so that answers of others cost nothing. */
    private final Set<BackendRef> mCrashedServers = new HashSet<>();

    private long mVersion;
    private Instant mNextExpire = Instant.MIN;

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
                .filter(CrashEntry::isQuarantined)
                .map(e -> e.toRecord(now))
                .toList();
    }

    /** Returns whether a request is kept away from backend servers. */
    public boolean isQuarantined(RequestKey key) {
        CrashEntry e = mEntries.get(key);
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
        CrashEntry e = mEntries.get(key);
        return e != null && e.takeTrial(now, mSelf);
    }

    /** Returns whether some backend server ended under a request that may have caused it. */
    public boolean isSuspect(RequestKey key) {
        CrashEntry e = mEntries.get(key);
        return e != null && e.unexcusedCount() > 0;
    }

    /** Returns what is known of a request. */
    public Optional<CrashRecord> find(Instant now, RequestKey key) {
        return Optional.ofNullable(mEntries.get(key)).map(e -> e.toRecord(now));
    }

    /** Notes that a backend server ended while it had a request. */
    public void onCrash(Instant now, RequestKey key, String service, BackendRef server) {
        Crash crash = new Crash(server, mSelf, Duration.ZERO, false);
        merge(now, new CrashRecord(key, service, List.of(crash)));
    }

    /**
     * Notes that a request was served, or that an operator vouches for it: none of the ends under
     * it was its doing.
     */
    public void excuseAll(Instant now, RequestKey key) {
        CrashEntry e = mEntries.get(key);
        if (e != null) {
            boolean before = e.isQuarantined();
            if (e.excuseAll()) {
                recordChange(now, e, before);
            }
        }
    }

    /**
     * Notes that a backend server answered: where it was taken for ended before, it had not.
     *
     * @param server the run that answered
     * @param asked when it was sent the request that it answered
     */
    public void onAnswer(Instant now, BackendRef server, Instant asked) {
        if (!mCrashedServers.contains(server)) {
            return;
        }
        for (CrashEntry e : mEntries.values()) {
            boolean before = e.isQuarantined();
            if (e.excuse(server, asked)) {
                recordChange(now, e, before);
            }
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
            changed |= merge(now, r);
        }
        return changed;
    }

    private boolean merge(Instant now, CrashRecord r) {
        CrashEntry known = mEntries.get(r.key());
        CrashEntry e = known == null ? new CrashEntry(r.key(), r.service()) : known;
        boolean before = e.isQuarantined();
        if (!e.add(now, r.crashes())) {
            return false;
        }
        if (known == null) {
            makeRoom(now, r.key().account());
            mEntries.put(r.key(), e);
        }
        mCrashedServers.addAll(e.servers());
        recordChange(now, e, before);
        return true;
    }

    private void recordChange(Instant now, CrashEntry e, boolean wasQuarantined) {
        mChanges.remove(e.mVersion);
        e.mVersion = ++mVersion;
        mChanges.put(e.mVersion, e);
        if (wasQuarantined != e.isQuarantined()) {
            mListener.changed(e.toRecord(now), e.isQuarantined());
        }
    }

    private void makeRoom(Instant now, String account) {
        List<CrashEntry> own =
                mEntries.values().stream().filter(e -> e.key().account().equals(account)).toList();
        if (own.size() >= MAX_REQUESTS_PER_ACCOUNT) {
            evictLeastSuspect(now, own);
        } else if (mEntries.size() >= MAX_REQUESTS) {
            evictLeastSuspect(now, List.copyOf(mEntries.values()));
        }
    }

    private void evictLeastSuspect(Instant now, List<CrashEntry> entries) {
        entries.stream()
                .min(
                        Comparator.comparingInt(CrashEntry::unexcusedCount)
                                .thenComparing(CrashEntry::lastCrashTime)
                                .thenComparingLong(e -> e.mVersion))
                .ifPresent(e -> remove(now, e));
    }

    private void remove(Instant now, CrashEntry e) {
        mEntries.remove(e.key());
        mChanges.remove(e.mVersion);
        if (e.isQuarantined()) {
            mListener.changed(e.toRecord(now), false);
        }
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
        Iterator<CrashEntry> changed = mChanges.tailMap(version, false).values().iterator();
        while (changed.hasNext() && records.size() < MAX_RECORDS_PER_MESSAGE) {
            CrashEntry e = changed.next();
            records.add(e.toRecord(now));
            reached = e.mVersion;
        }
        return new CrashDelta(changed.hasNext() ? reached : mVersion, records);
    }

    /** Forgets, once a second, requests under which no backend server has ended for long. */
    public void expire(Instant now) {
        if (mEntries.isEmpty() || now.isBefore(mNextExpire)) {
            return;
        }
        mNextExpire = now.plus(EXPIRE_INTERVAL);
        List<CrashEntry> old = mEntries.values().stream().filter(e -> e.isExpired(now)).toList();
        old.forEach(e -> remove(now, e));
        mCrashedServers.clear();
        mEntries.values().forEach(e -> mCrashedServers.addAll(e.servers()));
    }
}
