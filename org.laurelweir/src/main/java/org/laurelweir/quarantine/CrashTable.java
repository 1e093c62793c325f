package org.laurelweir.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.laurelweir.lib.BackendRef;

/**
 * Records which backend servers crashed under which suspects, as far as one process knows. Every
 * router and control instance has a table, and they send each other the changes.
 *
 * <p>A backend server runs several requests when it crashes, and a single crash does not show which
 * of them is the cause, nor whether it is the whole request or a part of its prompt. The cause is
 * present at each further crash and is never served, while the other requests and parts are served
 * when they are sent again. Crashes are only added or excused, and an excuse is final. So processes
 * that have exchanged all records agree, whatever the order of the messages.
 *
 * <p>The number of suspects of each kind, suspects of one account and crashes of one suspect is
 * bounded.
 */
public final class CrashTable {
    /** Maximum number of records in a message; the rest follows in the next one. */
    public static final int MAX_RECORDS_PER_MESSAGE = 32;

    /** Maximum number of crashes in a message, which bounds its size whatever the records. */
    static final int MAX_CRASHES_PER_MESSAGE = 256;

    /** Maximum number of suspects of each kind. */
    static final int MAX_SUSPECTS = 1024;

    /** Maximum number of requests of one account, so that it cannot evict records of others. */
    static final int MAX_REQUESTS_PER_ACCOUNT = 64;

    /** Maximum number of prompt parts that only requests of one account hold. */
    static final int MAX_PARTS_PER_ACCOUNT = 256;

    /** Number of crashes from which on a record does not wait for earlier changes. */
    private static final int URGENT_CRASHES = 2;

    /**
     * Maximum number of records in a message that did not wait. With all their crashes they take at
     * most half of a message, so that the others always advance.
     */
    private static final int MAX_URGENT_RECORDS = 8;

    private static final Duration EXPIRE_INTERVAL = Duration.ofSeconds(1);

    private final String mSelf;
    private final QuarantineListener mListener;
    private final Map<SuspectKey, CrashEntry> mEntries = new HashMap<>();
    private final NavigableMap<Long, CrashEntry> mChanges = new TreeMap<>();
    private final BlamedParts mBlamedParts = new BlamedParts();
    private final ServedParts mServedParts = new ServedParts();

    /** Backend servers in any entry; answers of other servers need no look at the entries. */
    private final Set<BackendRef> mCrashedServers = new HashSet<>();

    private long mVersion;
    private Instant mNextExpire = Instant.MIN;

    /**
     * Creates an empty table.
     *
     * @param self the name of the process
     * @param listener receives each suspect that is quarantined or released
     */
    public CrashTable(String self, QuarantineListener listener) {
        mSelf = self;
        mListener = listener;
    }

    /** Returns whether no crash is recorded. */
    public boolean isEmpty() {
        return mEntries.isEmpty();
    }

    /** Returns the records of the quarantined suspects. */
    public List<CrashRecord> quarantined(Instant now) {
        return mEntries.values().stream()
                .filter(this::isQuarantined)
                .map(e -> e.toRecord(now))
                .toList();
    }

    /** Returns the number of quarantined suspects of a kind. */
    public int quarantinedCount(SuspectKey.Kind kind) {
        return (int)
                mEntries.values().stream()
                        .filter(e -> e.key().kind() == kind && isQuarantined(e))
                        .count();
    }

    /** Returns whether a request, or a part of prompts alone or with others, is quarantined. */
    public boolean isQuarantined(SuspectKey key) {
        CrashEntry e = mEntries.get(key);
        return e != null && isQuarantined(e);
    }

    private boolean isQuarantined(CrashEntry e) {
        return e.key().isPromptPart() ? mBlamedParts.contains(e) : e.isQuarantinable();
    }

    /**
     * Returns the part that quarantines a prompt, if there is one. Where several parts may be the
     * cause, only prompts with all of them are quarantined.
     *
     * @param account the client account of the request
     * @param service the service of the request
     * @param parts the ids of the parts that other prompts may share
     */
    public Optional<SuspectKey> findBlamedPart(
            String account, String service, Collection<Long> parts) {
        return mBlamedParts.find(account, service, parts);
    }

    /**
     * Allows a trial: sending one quarantined request, or prompt with a quarantined part, to find
     * out whether the backend servers have been repaired. Only the router that observed the last
     * crash makes trials, so that two routers never do so at the same time, without messages
     * between them. Each crash delays the next trial further, and there are at most three.
     *
     * @return whether to send the request now
     */
    public boolean takeTrial(Instant now, SuspectKey key) {
        CrashEntry e = mEntries.get(key);
        return e != null && e.takeTrial(now, mSelf);
    }

    /** Returns whether a request may have caused a crash: it has crashes without an excuse. */
    public boolean isSuspect(SuspectKey key) {
        CrashEntry e = mEntries.get(key);
        return e != null && e.unexcusedCount() > 0;
    }

    /** Returns the record of a request, if there is one. */
    public Optional<CrashRecord> find(Instant now, SuspectKey key) {
        return Optional.ofNullable(mEntries.get(key)).map(e -> e.toRecord(now));
    }

    /** Records that a backend server crashed while it ran a request. */
    public void onCrash(Instant now, SuspectKey key, String service, BackendRef server) {
        Crash crash = new Crash(server, mSelf, Duration.ZERO, false);
        merge(now, new CrashRecord(key, service, List.of(crash)));
    }

    /**
     * Records that a backend server crashed while it ran a request with parts of prompts.
     *
     * @param parts the ids of the parts that other prompts may share; of very many, those that were
     *     not served lately are recorded, up to a bound
     */
    public void onCrashUnderParts(
            Instant now,
            Collection<Long> parts,
            String account,
            String service,
            BackendRef server) {
        Crash.Owner owner = new Crash.Owner(service, account, false);
        Crash crash = new Crash(server, mSelf, Duration.ZERO, false, owner);
        mServedParts
                .leastServedFirst(parts, service)
                .forEach(
                        part -> {
                            SuspectKey key = SuspectKey.promptPart(part);
                            merge(now, new CrashRecord(key, service, List.of(crash)));
                        });
    }

    /** Excuses all crashes of a suspect, because it was served or an operator released it. */
    public void excuseAll(Instant now, SuspectKey key) {
        change(now, mEntries.get(key), CrashEntry::excuseAll);
    }

    /**
     * Records that a service answered a prompt, which excuses its parts of the crashes of that
     * service, also of those that this process has not heard of yet.
     */
    public void onPartsServed(Instant now, Collection<Long> parts, String service) {
        for (long part : parts) {
            mServedParts.onServed(now, part, service);
            CrashEntry e = mEntries.get(SuspectKey.promptPart(part));
            change(now, e, entry -> entry.setServedBefore() | entry.excuseUntil(now, service));
        }
    }

    /** Applies an action to an entry, if there is one, and records the change that it made. */
    private void change(Instant now, CrashEntry e, Predicate<CrashEntry> action) {
        if (e != null && action.test(e)) {
            recordChange(now, e);
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
            change(now, e, entry -> entry.excuse(server, requestTime));
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
        boolean adds = e.add(now, r.crashes());
        adds |= r.servedBefore() && e.setServedBefore();
        if (!adds || e.crashCount() == 0) {
            return false;
        }
        if (r.key().isPromptPart()) {
            mServedParts.apply(e);
        }
        if (known == null) {
            makeRoom(now, e);
            mEntries.put(r.key(), e);
        }
        mCrashedServers.addAll(e.servers());
        recordChange(now, e);
        return true;
    }

    private void recordChange(Instant now, CrashEntry e) {
        mChanges.remove(e.mVersion);
        e.mVersion = ++mVersion;
        mChanges.put(e.mVersion, e);
        if (e.key().isPromptPart()) {
            mBlamedParts.update(e).forEach(part -> tellIfChanged(now, part));
        } else {
            tellIfChanged(now, e);
        }
    }

    private void tellIfChanged(Instant now, CrashEntry e) {
        if (e.mIsToldQuarantined != isQuarantined(e)) {
            e.mIsToldQuarantined = !e.mIsToldQuarantined;
            mListener.changed(e.toRecord(now), e.mIsToldQuarantined);
        }
    }

    private void makeRoom(Instant now, CrashEntry added) {
        if (mEntries.size() < MAX_REQUESTS_PER_ACCOUNT) {
            return;
        }
        List<CrashEntry> ofKind =
                mEntries.values().stream()
                        .filter(e -> e.key().kind() == added.key().kind())
                        .toList();
        Optional<String> account = accountOf(added);
        List<CrashEntry> ofAccount =
                ofKind.stream()
                        .filter(e -> account.isPresent() && accountOf(e).equals(account))
                        .toList();
        boolean isPart = added.key().isPromptPart();
        if (ofAccount.size() >= (isPart ? MAX_PARTS_PER_ACCOUNT : MAX_REQUESTS_PER_ACCOUNT)) {
            evictLeastSuspect(now, ofAccount);
        } else if (ofKind.size() >= MAX_SUSPECTS) {
            evictLeastSuspect(now, ofKind);
        }
    }

    /** Returns the only account that a suspect belongs to, or empty if there are several. */
    private static Optional<String> accountOf(CrashEntry e) {
        return e.key().isPromptPart() ? e.onlyAccount() : Optional.of(e.key().account());
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
        mBlamedParts.remove(e).forEach(part -> tellIfChanged(now, part));
        if (e.mIsToldQuarantined) {
            e.mIsToldQuarantined = false;
            mListener.changed(e.toRecord(now), false);
        }
    }

    /** Returns the version of the table, which increases with every change. */
    public long version() {
        return mVersion;
    }

    /**
     * Returns the records that have changed since a version, the earliest changes first. If they do
     * not fit into a message, the suspects with most crashes are added out of turn: each crash is a
     * new change, so that the cause of many crashes would always wait behind the others.
     *
     * @param version the version that the reader's copy reaches, 0 for a reader without a copy
     */
    public CrashDelta since(Instant now, long version) {
        Collection<CrashEntry> changed = mChanges.tailMap(version, false).values();
        Set<CrashEntry> sent = new LinkedHashSet<>();
        if (changed.size() > MAX_RECORDS_PER_MESSAGE) {
            changed.stream()
                    .filter(e -> e.unexcusedCount() >= URGENT_CRASHES)
                    .sorted(Comparator.comparingInt(CrashEntry::unexcusedCount).reversed())
                    .limit(MAX_URGENT_RECORDS)
                    .forEach(sent::add);
        }
        int crashes = sent.stream().mapToInt(CrashEntry::crashCount).sum();
        long reached = version;
        for (CrashEntry e : changed) {
            if (!sent.contains(e)) {
                crashes += e.crashCount();
                if (sent.size() >= MAX_RECORDS_PER_MESSAGE || crashes > MAX_CRASHES_PER_MESSAGE) {
                    return newDelta(now, reached, sent);
                }
                sent.add(e);
            }
            reached = e.mVersion;
        }
        return newDelta(now, mVersion, sent);
    }

    private static CrashDelta newDelta(Instant now, long version, Collection<CrashEntry> sent) {
        return new CrashDelta(version, sent.stream().map(e -> e.toRecord(now)).toList());
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
