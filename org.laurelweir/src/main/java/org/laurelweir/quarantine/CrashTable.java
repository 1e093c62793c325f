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
 * Records which backend servers crashed under which requests, as far as one process knows. Every
 * router and control instance has a table, and they send each other the changes.
 *
 * <p>A backend server runs several requests when it crashes, and a single crash does not show which
 * of them is the cause. The cause is present at each further crash and is never served, while the
 * other requests are served when they are sent again. Crashes are only added or excused, and an
 * excuse is final. So processes that have exchanged all records agree, whatever the order of the
 * messages.
 *
 * <p>The number of requests, requests of one account and crashes of one request is bounded.
 */
public final class CrashTable {
    /** Maximum number of records in a message; the rest follows in the next one. */
    public static final int MAX_RECORDS_PER_MESSAGE = 32;

    /** Maximum number of requests with a record. */
    static final int MAX_REQUESTS = 1024;

    /** Maximum number of requests of one account, so that it cannot evict records of others. */
    static final int MAX_REQUESTS_PER_ACCOUNT = 64;

    private static final Duration EXPIRE_INTERVAL = Duration.ofSeconds(1);

    private final String mSelf;
    private final QuarantineListener mListener;
    private final Map<RequestKey, CrashEntry> mEntries = new HashMap<>();
    private final NavigableMap<Long, CrashEntry> mChanges = new TreeMap<>();

    /** Backend servers in any entry; answers of other servers need no look at the entries. */
    private final Set<BackendRef> mCrashedServers = new HashSet<>();

    private long mVersion;
    private Instant mNextExpire = Instant.MIN;

    /**
     * Creates an empty table.
     *
     * @param self the name of the process
     * @param listener receives each request that is quarantined or released
     */
    public CrashTable(String self, QuarantineListener listener) {
        mSelf = self;
        mListener = listener;
    }

    /** Returns whether no crash is recorded. */
    public boolean isEmpty() {
        return mEntries.isEmpty();
    }

    /** Returns the records of the quarantined requests. */
    public List<CrashRecord> quarantined(Instant now) {
        return mEntries.values().stream()
                .filter(CrashEntry::isQuarantined)
                .map(e -> e.toRecord(now))
                .toList();
    }

    /** Returns whether a request is quarantined. */
    public boolean isQuarantined(RequestKey key) {
        CrashEntry e = mEntries.get(key);
        return e != null && e.isQuarantined();
    }

    /**
     * Allows a trial: sending a quarantined request once, to find out whether the backend servers
     * have been repaired. Only the router that observed the last crash makes trials, so that two
     * routers never do so at the same time, without messages between them. Each crash delays the
     * next trial further, and there are at most three.
     *
     * @return whether to send the request now
     */
    public boolean takeTrial(Instant now, RequestKey key) {
        CrashEntry e = mEntries.get(key);
        return e != null && e.takeTrial(now, mSelf);
    }

    /** Returns whether a request may have caused a crash: it has crashes without an excuse. */
    public boolean isSuspect(RequestKey key) {
        CrashEntry e = mEntries.get(key);
        return e != null && e.unexcusedCount() > 0;
    }

    /** Returns the record of a request, if there is one. */
    public Optional<CrashRecord> find(Instant now, RequestKey key) {
        return Optional.ofNullable(mEntries.get(key)).map(e -> e.toRecord(now));
    }

    /** Records that a backend server crashed while it ran a request. */
    public void onCrash(Instant now, RequestKey key, String service, BackendRef server) {
        Crash crash = new Crash(server, mSelf, Duration.ZERO, false);
        merge(now, new CrashRecord(key, service, List.of(crash)));
    }

    /** Excuses all crashes of a request, because it was served or an operator released it. */
    public void excuseAll(Instant now, RequestKey key) {
        CrashEntry e = mEntries.get(key);
        if (e != null) {
            boolean wasQuarantined = e.isQuarantined();
            if (e.excuseAll()) {
                recordChange(now, e, wasQuarantined);
            }
        }
    }

    /**
     * Records that a backend server answered, which excuses a supposed crash before the request.
     *
     * @param server the incarnation of the backend server that answered
     * @param requestTime the time at which the answered request was sent
     */
    public void onAnswer(Instant now, BackendRef server, Instant requestTime) {
        if (!mCrashedServers.contains(server)) {
            return;
        }
        for (CrashEntry e : mEntries.values()) {
            boolean wasQuarantined = e.isQuarantined();
            if (e.excuse(server, requestTime)) {
                recordChange(now, e, wasQuarantined);
            }
        }
    }

    /**
     * Merges records of another process.
     *
     * @return whether any of them changed this table
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
        boolean wasQuarantined = e.isQuarantined();
        if (!e.add(now, r.crashes())) {
            return false;
        }
        if (known == null) {
            makeRoom(now, r.key().account());
            mEntries.put(r.key(), e);
        }
        mCrashedServers.addAll(e.servers());
        recordChange(now, e, wasQuarantined);
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
        List<CrashEntry> ofAccount =
                mEntries.values().stream().filter(e -> e.key().account().equals(account)).toList();
        if (ofAccount.size() >= MAX_REQUESTS_PER_ACCOUNT) {
            evictLeastSuspect(now, ofAccount);
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

    /** Returns the version of the table, which increases with every change. */
    public long version() {
        return mVersion;
    }

    /**
     * Returns the records that have changed since a version, the earliest changes first.
     *
     * @param version the version that the reader's copy reaches, 0 for a reader without a copy
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

    /** Removes the entries whose last crash is too long ago. Does so at most once a second. */
    public void expire(Instant now) {
        if (mEntries.isEmpty() || now.isBefore(mNextExpire)) {
            return;
        }
        mNextExpire = now.plus(EXPIRE_INTERVAL);
        List<CrashEntry> expired =
                mEntries.values().stream().filter(e -> e.isExpired(now)).toList();
        expired.forEach(e -> remove(now, e));
        mCrashedServers.clear();
        mEntries.values().forEach(e -> mCrashedServers.addAll(e.servers()));
    }
}
