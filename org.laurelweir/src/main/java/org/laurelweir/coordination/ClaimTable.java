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
 * Maps each idempotency key in use to the attempt that holds it. A key has at most one holder at a
 * time. Another attempt can replace the holder only if it names exactly that holder. If two routers
 * both find that the holder never started, only one of them replaces it; the other one gets the new
 * holder as its answer.
 *
 * <p>Claims expire by the log's time, so that every replica removes the same claims at the same
 * entry.
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
     * @param maxClaims maximum number of claims; beyond it new claims are rejected, and no claim is
     *     removed before it expires
     * @param maxRetention upper limit for the retention that a claim asks for
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
        Claim current = entry.mClaim;
        if (current.fingerprint() != c.fingerprint()) {
            return current.toResult(ResultCode.IDEMPOTENCY_KEY_REUSED);
        }
        if (current.holder().equals(c.replaces()) && !current.settled()) {
            remove(key, entry);
            return grant(c);
        }
        return current.toResult(ResultCode.OK);
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

    /**
     * Returns the time at which a claim expires, rounded up to a whole second. So many claims share
     * an entry of the map by expiry.
     */
    private Instant expiry(Command.Claim c) {
        boolean isTooLong = c.retention().compareTo(mMaxRetention) > 0;
        Instant expiry = c.timestamp().plus(isTooLong ? mMaxRetention : c.retention());
        return expiry.truncatedTo(ChronoUnit.SECONDS).plusSeconds(1);
    }

    /**
     * Records the result code of a holder. If the holder was not run and never will be, the key is
     * released. An attempt that does not hold the key changes nothing.
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

    /** Returns an equal claim that shares the objects that many claims have in common. */
    private Claim internParts(Claim c) {
        AttemptId holder = c.holder();
        String router = mNameInterner.intern(holder.router());
        return new Claim(
                mNameInterner.intern(c.account()),
                c.key(),
                c.fingerprint(),
                new AttemptId(
                        router, holder.routerIncarnation(), holder.request(), holder.attempt()),
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

    /**
     * Returns all claims in the order in which they expire. The order is the same on every replica.
     */
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

    /**
     * A claim's entry in both maps. Settling replaces the claim in the entry, but not the entry.
     */
    private static final class Entry {
        private Claim mClaim;

        private Entry(Claim claim) {
            mClaim = claim;
        }
    }
}
