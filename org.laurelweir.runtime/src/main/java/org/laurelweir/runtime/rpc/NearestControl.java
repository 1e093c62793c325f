package org.laurelweir.runtime.rpc;

import java.util.List;

/**
 * Chooses the control instance to exchange with: the nearest, unless it fails or can't confirm what
 * it says. Not safe for use by several threads.
 */
final class NearestControl {
    private static final int EXCHANGES_BEFORE_RETURN = 60;
    private static final int MOST_EXCHANGES_BEFORE_RETURN = 3600;
    private static final int STALE_BEFORE_LEAVING = 2;

    /** Once all were found stale: rare enough for what a move costs, a whole view. */
    private static final int STALE_BEFORE_LEAVING_AGAIN = 12;

    private List<String> mAddresses;
    private int mCurrent;
    private int mUntilReturn;
    private int mReturnAfter = EXCHANGES_BEFORE_RETURN;
    private int mStale;
    private int mStaleInARow;
    private int mStaleLimit = STALE_BEFORE_LEAVING;

    NearestControl(List<String> addresses) {
        mAddresses = List.copyOf(addresses);
    }

    /**
     * Takes the instances that there are now. The present one stays in use where it is still among
     * them; the first ones remain the nearest.
     */
    void use(List<String> addresses) {
        if (addresses.isEmpty() || addresses.equals(mAddresses)) {
            return;
        }
        int kept = addresses.indexOf(address());
        mAddresses = List.copyOf(addresses);
        mCurrent = Math.max(0, kept);
    }

    int size() {
        return mAddresses.size();
    }

    String address() {
        return mAddresses.get(mCurrent);
    }

    /** Goes on to the next instance; back to the nearest later each time that it disappoints. */
    void leave() {
        if (mCurrent == 0) {
            mUntilReturn = mReturnAfter;
            mReturnAfter = Math.min(2 * mReturnAfter, MOST_EXCHANGES_BEFORE_RETURN);
        }
        mCurrent = (mCurrent + 1) % mAddresses.size();
        mStale = 0;
    }

    /** Counts an exchange; returns whether the nearest instance is to be tried again. */
    boolean returns() {
        if (mCurrent == 0 || --mUntilReturn > 0) {
            return false;
        }
        mCurrent = 0;
        mStale = 0;
        return true;
    }

    /**
     * Notes whether an answer was possibly stale; returns whether to leave the instance. One behind
     * a partition answers as promptly as ever, so only this shows it; the next one may be cut off
     * with it, and is left as soon. Once every instance was found stale, there is nowhere better to
     * go for now, and the moves become rarer; how long that lasts says nothing of the next moment,
     * so that they don't become rarer still.
     */
    boolean leavesStale(boolean possiblyStale) {
        if (!possiblyStale) {
            if (mCurrent == 0) {
                mReturnAfter = EXCHANGES_BEFORE_RETURN;
            }
            mStale = 0;
            mStaleInARow = 0;
            mStaleLimit = STALE_BEFORE_LEAVING;
            return false;
        }
        if (mAddresses.size() == 1 || ++mStale < mStaleLimit) {
            return false;
        }
        if (++mStaleInARow >= mAddresses.size()) {
            mStaleLimit = STALE_BEFORE_LEAVING_AGAIN;
        }
        leave();
        return true;
    }
}
