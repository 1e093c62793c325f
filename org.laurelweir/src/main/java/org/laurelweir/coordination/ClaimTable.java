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
    private final TreeMap<Instant, List<Entry>> mByExpiry = new TreeMap<>();
    private final Interner<String> mNameInterner = new Interner<>();
    private final Interner<BackendRef> mTargetInterner = new Interner<>();
    private final Interner<Instant> mTimeInterner = new Interner<>();

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
        removeExpired(c.timestamp());
        Key key = new Key(c.account(), c.key());
        Entry entry = mClaims.get(key);
        if (entry == null) {
            return grant(c);
        }
        Claim held = entry.mClaim;
        if (held.fingerprint() != c.fingerprint()) {
            return held.toResult(ResultCode.IDEMPOTENCY_KEY_REUSED);
        }
        if (held.holder().equals(c.replaces()) && !held.settled()) {
            remove(key, entry);
            return grant(c);
        }
        return held.toResult(ResultCode.OK);
    }

    private ClaimResult grant(Command.Claim c) {
        if (mClaims.size() >= mMaxClaims) {
            return ClaimResult.rejected(ResultCode.CLAIM_UNAVAILABLE);
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
        insert(claim);
        return claim.toResult(ResultCode.OK);
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
        removeExpired(c.timestamp());
        Key key = new Key(c.account(), c.key());
        Entry entry = mClaims.get(key);
        if (entry == null || !entry.mClaim.holder().equals(c.attempt()) || entry.mClaim.settled()) {
            return ResultCode.OK;
        }
        if (c.code().isNotRun()) {
            remove(key, entry);
        } else {
            entry.mClaim = entry.mClaim.withSettled(c.code());
        }
        return ResultCode.OK;
    }

    int size() {
        return mClaims.size();
    }

    private void insert(Claim c) {
        Claim claim = internParts(c);
        Entry entry = new Entry(claim);
        mClaims.put(new Key(claim.account(), claim.key()), entry);
        mByExpiry.computeIfAbsent(claim.expires(), e -> new ArrayList<>()).add(entry);
    }

    /** Shares what many claims have in common. */
    private Claim internParts(Claim c) {
        AttemptId h = c.holder();
        String router = mNameInterner.intern(h.router());
        return new Claim(
                mNameInterner.intern(c.account()),
                c.key(),
                c.fingerprint(),
                new AttemptId(router, h.routerIncarnation(), h.request(), h.attempt()),
                mTargetInterner.intern(c.target()),
                mTimeInterner.intern(c.expires()),
                c.settledCode());
    }

    private void remove(Key key, Entry entry) {
        mClaims.remove(key);
        Instant expires = entry.mClaim.expires();
        List<Entry> sameTime = mByExpiry.get(expires);
        sameTime.remove(entry);
        if (sameTime.isEmpty()) {
            mByExpiry.remove(expires);
        }
    }

    private void removeExpired(Instant now) {
        while (!mByExpiry.isEmpty() && !mByExpiry.firstKey().isAfter(now)) {
            for (Entry e : mByExpiry.pollFirstEntry().getValue()) {
                mClaims.remove(new Key(e.mClaim.account(), e.mClaim.key()));
            }
        }
    }

    /** Returns every claim, the first to expire first, in the same order on every replica. */
    List<Claim> all() {
        List<Claim> all = new ArrayList<>(mClaims.size());
        mByExpiry.values().forEach(entries -> entries.forEach(e -> all.add(e.mClaim)));
        return all;
    }

    void restore(List<Claim> claims) {
        mClaims.clear();
        mByExpiry.clear();
        claims.forEach(this::insert);
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
