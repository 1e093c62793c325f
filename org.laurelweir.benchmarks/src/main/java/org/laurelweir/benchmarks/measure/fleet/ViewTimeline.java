package org.laurelweir.benchmarks.measure.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.laurelweir.placement.ServiceView;
import org.laurelweir.placement.ViewChange;

/** The views of one service in the order of the control log, and when each observer sees them. */
public final class ViewTimeline {
    private final List<ServiceView> mViews = new ArrayList<>();
    private final List<Long> mTimes = new ArrayList<>();

    ViewTimeline(ServiceView first) {
        add(Long.MIN_VALUE, first);
    }

    void change(long at, ViewChange change) {
        ServiceView last = latest();
        add(at, last.apply(last.version() + 1, List.of(change)));
    }

    private void add(long at, ServiceView view) {
        mTimes.add(at);
        mViews.add(view);
    }

    ServiceView latest() {
        return mViews.get(mViews.size() - 1);
    }

    /** Returns an observer that sees each change up to {@code maxLag} microseconds late. */
    Observer newObserver(long maxLag, long seed) {
        return new Observer(maxLag, seed);
    }

    /** One process's delayed view of the service. */
    final class Observer {
        private final long mMaxLag;
        private final SplittableRandom mRandom;
        private int mSeenIndex;
        private long mNextAt;
        private boolean mNextDrawn;

        private Observer(long maxLag, long seed) {
            mMaxLag = maxLag;
            mRandom = new SplittableRandom(seed);
        }

        /** Returns the view visible at a time, which must not decrease between calls. */
        ServiceView view(long now) {
            while (mSeenIndex + 1 < mViews.size()) {
                if (!mNextDrawn) {
                    long lag = mMaxLag == 0 ? 0 : mRandom.nextLong(mMaxLag);
                    mNextAt = Math.max(mNextAt, mTimes.get(mSeenIndex + 1) + lag);
                    mNextDrawn = true;
                }
                if (mNextAt > now) {
                    break;
                }
                mSeenIndex++;
                mNextDrawn = false;
            }
            return mViews.get(mSeenIndex);
        }
    }
}
