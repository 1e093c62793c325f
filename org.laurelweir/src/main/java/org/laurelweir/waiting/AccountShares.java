package org.laurelweir.waiting;

import java.time.Instant;
import org.laurelweir.contention.FleetView;

/**
 * The shares of client accounts by the tokens that each has in flight at all routers. While only
 * this router's own requests are known, all accounts count as equal: an account whose requests
 * happen to arrive here would otherwise be held back.
 */
public final class AccountShares {
    /** An account with more than this multiple of its fair share waits while others wait. */
    private static final double MAX_SHARE_FACTOR = 2;

    private final FleetView mFleet;

    /** Creates the shares by the demand of all routers. */
    public AccountShares(FleetView fleet) {
        mFleet = fleet;
    }

    /**
     * Returns an account's tokens in flight as a multiple of its fair share, which is the mean of
     * all accounts with any tokens times the weight; 0 if unknown.
     */
    public double ratio(Instant now, String account, double weight) {
        return at(now).ratio(account, weight);
    }

    /** Returns the shares at one time, for the comparison of several accounts. */
    At at(Instant now) {
        boolean isKnown = !Double.isNaN(mFleet.ageMillis(now));
        return new At(now, isKnown, isKnown ? mFleet.meanAccountTokens(now) : 0);
    }

    /** The shares at one time. */
    final class At {
        private final Instant mNow;
        private final boolean mIsKnown;
        private final double mMean;

        private At(Instant now, boolean isKnown, double mean) {
            mNow = now;
            mIsKnown = isKnown;
            mMean = mean;
        }

        /** Returns an account's tokens in flight in proportion to its weight, or 0 if unknown. */
        double weightedTokens(String account, double weight) {
            return mIsKnown ? FairEntry.weighted(mFleet.accountTokens(mNow, account), weight) : 0;
        }

        /** Returns an account's tokens in flight as a multiple of its fair share. */
        double ratio(String account, double weight) {
            return mMean > 0 ? weightedTokens(account, weight) / mMean : 0;
        }

        /** Returns whether an account has to wait while others wait. */
        boolean isExceeded(String account, double weight) {
            return ratio(account, weight) > MAX_SHARE_FACTOR;
        }
    }
}
