package org.laurelweir.runtime.rpc;

import java.util.List;

/**
 * Chooses the control instance to exchange with: the nearest one, unless it fails or cannot confirm
 * its settings. Not thread-safe.
 */
final class NearestControl {
    private static final int MIN_EXCHANGES_BEFORE_RETURN = 60;
    private static final int MAX_EXCHANGES_BEFORE_RETURN = 3600;
    private static final int STALE_ANSWERS_BEFORE_MOVE = 2;

    /**
     * Applies once all instances are stale. Each move costs a full view of the membership, so moves
     * must be rare.
     */
    private static final int STALE_ANSWERS_BEFORE_MOVE_IF_ALL_STALE = 12;

    private List<String> mAddresses;
    private int mCurrent;
    private int mExchangesUntilReturn;
    private int mExchangesBeforeReturn = MIN_EXCHANGES_BEFORE_RETURN;
    private int mStaleAnswers;
    private int mStaleInstancesInARow;
    private int mMaxStaleAnswers = STALE_ANSWERS_BEFORE_MOVE;

    NearestControl(List<String> addresses) {
        mAddresses = List.copyOf(addresses);
    }

    /**
     * Replaces the list of instances, nearest first. The current instance stays in use if it is
     * still in the list.
     */
    void setAddresses(List<String> addresses) {
        if (addresses.isEmpty() || addresses.equals(mAddresses)) {
            return;
        }
        int newIndex = addresses.indexOf(address());
        mAddresses = List.copyOf(addresses);
        mCurrent = Math.max(0, newIndex);
    }

    int size() {
        return mAddresses.size();
    }

    String address() {
        return mAddresses.get(mCurrent);
    }

    /**
     * Moves to the next instance. The delay until the return to the nearest instance doubles each
     * time that the nearest instance is left, up to a maximum.
     */
    void moveToNext() {
        if (mCurrent == 0) {
            mExchangesUntilReturn = mExchangesBeforeReturn;
            mExchangesBeforeReturn =
                    Math.min(2 * mExchangesBeforeReturn, MAX_EXCHANGES_BEFORE_RETURN);
        }
        mCurrent = (mCurrent + 1) % mAddresses.size();
        mStaleAnswers = 0;
    }

    /**
     * Counts an exchange and returns to the nearest instance if the delay has passed. Returns
     * whether it did.
     */
    boolean returnToNearestIfDue() {
        if (mCurrent == 0 || --mExchangesUntilReturn > 0) {
            return false;
        }
        mCurrent = 0;
        mStaleAnswers = 0;
        return true;
    }

    /**
     * Records whether an answer was possibly stale, and moves to the next instance after several
     * stale answers. Returns whether it moved. An instance behind a partition answers as promptly
     * as before, so only stale answers reveal the partition. The next instance may be cut off too,
     * and is left after as many stale answers. Once all instances are stale, no instance is better
     * and moves become rarer. They do not become rarer still, because the length of an outage does
     * not predict its end.
     */
    boolean moveToNextIfStale(boolean possiblyStale) {
        if (!possiblyStale) {
            if (mCurrent == 0) {
                mExchangesBeforeReturn = MIN_EXCHANGES_BEFORE_RETURN;
            }
            mStaleAnswers = 0;
            mStaleInstancesInARow = 0;
            mMaxStaleAnswers = STALE_ANSWERS_BEFORE_MOVE;
            return false;
        }
        if (mAddresses.size() == 1 || ++mStaleAnswers < mMaxStaleAnswers) {
            return false;
        }
        if (++mStaleInstancesInARow >= mAddresses.size()) {
            mMaxStaleAnswers = STALE_ANSWERS_BEFORE_MOVE_IF_ALL_STALE;
        }
        moveToNext();
        return true;
    }
}
