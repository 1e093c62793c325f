package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.laurelweir.coordination.CommandResult.ClaimResult;
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
    private final Map<Key, Claim> mClaims = new HashMap<>();
    private final TreeMap<Instant, List<Key>> mExpiries = new TreeMap<>();

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
        expire(c.at());
        Key key = new Key(c.account(), c.key());
        Claim held = mClaims.get(key);
        if (held == null) {
            return grant(key, c);
        }
        if (held.fingerprint() != c.fingerprint()) {
            return held.result(ResultCode.IDEMPOTENCY_KEY_REUSED);
        }
        if (held.holder().equals(c.replaces()) && !held.settled()) {
            forget(key, held);
            return grant(key, c);
        }
        return held.result(ResultCode.OK);
    }

    private ClaimResult grant(Key key, Command.Claim c) {
        if (mClaims.size() >= mMaxClaims) {
            return ClaimResult.refused(ResultCode.CLAIM_UNAVAILABLE);
        }
        Duration keep = c.retention().compareTo(mMaxRetention) < 0 ? c.retention() : mMaxRetention;
        Claim claim =
                new Claim(
                        c.account(),
                        c.key(),
                        c.fingerprint(),
                        c.attempt(),
                        c.target(),
                        c.at().plus(keep),
                        null);
        put(key, claim);
        return claim.result(ResultCode.OK);
    }

    /**
     * Records how a holder ended. A holder that was not run and will not be gives the key free;
     * whoever does not hold it changes nothing.
     */
    ResultCode apply(Command.SettleClaim c) {
        expire(c.at());
        Key key = new Key(c.account(), c.key());
        Claim held = mClaims.get(key);
        if (held == null || !held.holder().equals(c.attempt()) || held.settled()) {
            return ResultCode.OK;
        }
        if (c.code().isNotRun()) {
            forget(key, held);
        } else {
            mClaims.put(key, held.withSettled(c.code()));
        }
        return ResultCode.OK;
    }

    int size() {
        return mClaims.size();
    }

    private void put(Key key, Claim claim) {
        mClaims.put(key, claim);
        mExpiries.computeIfAbsent(claim.expires(), e -> new ArrayList<>(1)).add(key);
    }

    private void forget(Key key, Claim claim) {
        mClaims.remove(key);
        List<Key> sameTime = mExpiries.get(claim.expires());
        sameTime.remove(key);
        if (sameTime.isEmpty()) {
            mExpiries.remove(claim.expires());
        }
    }

    private void expire(Instant now) {
        while (!mExpiries.isEmpty() && !mExpiries.firstKey().isAfter(now)) {
            mExpiries.pollFirstEntry().getValue().forEach(mClaims::remove);
        }
    }

    /** Returns every claim, the first to expire first, in the same order on every replica. */
    List<Claim> all() {
        List<Claim> all = new ArrayList<>(mClaims.size());
        mExpiries.values().forEach(keys -> keys.forEach(k -> all.add(mClaims.get(k))));
        return all;
    }

    void restore(List<Claim> claims) {
        mClaims.clear();
        mExpiries.clear();
        claims.forEach(c -> put(new Key(c.account(), c.key()), c));
    }

    private record Key(String account, String key) {}
}
