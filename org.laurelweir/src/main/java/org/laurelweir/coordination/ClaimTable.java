package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.laurelweir.coordination.CommandResult.ClaimResult;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.ResultCode;

/**
 * Which attempt holds each idempotency key. A key has at most one holder at a time, and another
 * attempt takes its place only by naming exactly the holder that it replaces: of two routers that
 * both found the holder never to have started, one is refused and learns of the other.
 *
 * <p>Claims end by the log's time, so every replica forgets the same ones at the same entry.
 */
final class ClaimTable {
    private final int mMaxClaims;
    private final Duration mMaxRetention;
    private final Map<Key, Entry> mClaims = new HashMap<>();
    private final TreeMap<Instant, List<Entry>> mExpiries = new TreeMap<>();
    private final Interner<String> mNames = new Interner<>();
    private final Interner<BackendRef> mTargets = new Interner<>();
    private final Interner<Instant> mTimes = new Interner<>();

    /**
     * Creates an empty table.
     *
     * @param maxClaims above which new claims are refused, rather than old ones forgotten early
     * @param maxRetention the longest time that a claim is kept, whatever it asks for
     */
    ClaimTable(int maxClaims, Duration maxRetention) {
        mMaxClaims = maxClaims;
        mMaxRetention = maxRetention;
    }

    ClaimResult apply(Command.Claim c) {
        expire(c.timestamp());
        Key key = new Key(c.account(), c.key());
        Entry entry = mClaims.get(key);
        if (entry == null) {
            return grant(c);
        }
        Claim held = entry.mClaim;
        if (held.fingerprint() != c.fingerprint()) {
            return held.result(ResultCode.IDEMPOTENCY_KEY_REUSED);
        }
        if (held.holder().equals(c.replaces()) && !held.settled()) {
            forget(key, entry);
            return grant(c);
        }
        return held.result(ResultCode.OK);
    }

    private ClaimResult grant(Command.Claim c) {
        if (mClaims.size() >= mMaxClaims) {
            return ClaimResult.refused(ResultCode.CLAIM_UNAVAILABLE);
        }
        Claim claim =
                new Claim(
                        c.account(),
                        c.key(),
                        c.fingerprint(),
                        c.attempt(),
                        c.target(),
                        expiry(c),
                        null);
        put(claim);
        return claim.result(ResultCode.OK);
    }

    /** Whole seconds, so that many claims share the place that they have in the order of ends. */
    private Instant expiry(Command.Claim c) {
        boolean tooLong = c.retention().compareTo(mMaxRetention) > 0;
        Instant end = c.timestamp().plus(tooLong ? mMaxRetention : c.retention());
        return end.truncatedTo(ChronoUnit.SECONDS).plusSeconds(1);
    }

    /**
     * Records how a holder ended. A holder that was not run and will not be gives the key free;
     * whoever does not hold it changes nothing.
     */
    ResultCode apply(Command.SettleClaim c) {
        expire(c.timestamp());
        Key key = new Key(c.account(), c.key());
        Entry entry = mClaims.get(key);
        if (entry == null || !entry.mClaim.holder().equals(c.attempt()) || entry.mClaim.settled()) {
            return ResultCode.OK;
        }
        if (c.code().isNotRun()) {
            forget(key, entry);
        } else {
            entry.mClaim = entry.mClaim.withSettled(c.code());
        }
        return ResultCode.OK;
    }

    int size() {
        return mClaims.size();
    }

    private void put(Claim c) {
        Claim claim = compact(c);
        Entry entry = new Entry(claim);
        mClaims.put(new Key(claim.account(), claim.key()), entry);
        mExpiries.computeIfAbsent(claim.expires(), e -> new ArrayList<>()).add(entry);
    }

    /** Shares what many claims have in common. */
    private Claim compact(Claim c) {
        AttemptId h = c.holder();
        String router = mNames.intern(h.router());
        return new Claim(
                mNames.intern(c.account()),
                c.key(),
                c.fingerprint(),
                new AttemptId(router, h.routerIncarnation(), h.request(), h.attempt()),
                mTargets.intern(c.target()),
                mTimes.intern(c.expires()),
                c.settledCode());
    }

    private void forget(Key key, Entry entry) {
        mClaims.remove(key);
        Instant expires = entry.mClaim.expires();
        List<Entry> sameTime = mExpiries.get(expires);
        sameTime.remove(entry);
        if (sameTime.isEmpty()) {
            mExpiries.remove(expires);
        }
    }

    private void expire(Instant now) {
        while (!mExpiries.isEmpty() && !mExpiries.firstKey().isAfter(now)) {
            for (Entry e : mExpiries.pollFirstEntry().getValue()) {
                mClaims.remove(new Key(e.mClaim.account(), e.mClaim.key()));
            }
        }
    }

    /** Returns every claim, the first to expire first, in the same order on every replica. */
    List<Claim> all() {
        List<Claim> all = new ArrayList<>(mClaims.size());
        mExpiries.values().forEach(entries -> entries.forEach(e -> all.add(e.mClaim)));
        return all;
    }

    void restore(List<Claim> claims) {
        mClaims.clear();
        mExpiries.clear();
        claims.forEach(this::put);
    }

    private record Key(String account, String key) {}

    /** The place of a claim in both indexes; settling changes the claim and not the place. */
    private static final class Entry {
        private Claim mClaim;

        private Entry(Claim claim) {
            mClaim = claim;
        }
    }
}
