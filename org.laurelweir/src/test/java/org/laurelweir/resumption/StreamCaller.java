package org.laurelweir.resumption;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.laurelweir.direct.Resumption;
import org.laurelweir.fleet.FleetCaller;
import org.laurelweir.fleet.FleetRouter;
import org.laurelweir.lib.ResultCode;

/**
 * A simulated caller of one stream. If the stream breaks off, the caller goes on after the last
 * event that it has, at any router, and names the request that brought the first event.
 */
final class StreamCaller {
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (\\S+)\n\n");
    private static final int MAX_TRIES = 4;
    private static final int MIN_PAUSE_MILLIS = 20;
    private static final int MAX_PAUSE_MILLIS = 400;

    private final VersionedFleet mFleet;
    private final List<Integer> mEvents = new ArrayList<>();
    private final Set<String> mVersions = new LinkedHashSet<>();
    private String mFirstRequest = "";
    private int mTries;
    private boolean mIsCounted;
    private boolean mHasGoneOn;

    StreamCaller(VersionedFleet fleet) {
        mFleet = fleet;
    }

    /** Returns whether the caller has events of several versions. */
    boolean isCrossed() {
        return mVersions.size() > 1;
    }

    /** Returns whether an event is missing or came twice. */
    boolean isOutOfOrder() {
        for (int i = 0; i < mEvents.size(); i++) {
            if (mEvents.get(i) != i + 1) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether the caller tried to go on at a router in touch while two servers of the
     * version served.
     */
    boolean isCounted() {
        return mIsCounted;
    }

    /** Returns whether one of those tries brought an event, or the end of a complete stream. */
    boolean hasGoneOn() {
        return mHasGoneOn;
    }

    boolean hasBegun() {
        return !mEvents.isEmpty();
    }

    void start() {
        send();
    }

    private void send() {
        mTries++;
        FleetRouter router = mFleet.randomRouter();
        String id = mFleet.nextRequestId();
        Resumption resumption =
                hasBegun()
                        ? new Resumption(mFirstRequest, Integer.toString(mEvents.size()))
                        : Resumption.NONE;
        mFleet.submit(router, id, resumption, new Try(id, router, hasBegun()));
    }

    /** One request of this caller. */
    private final class Try implements FleetCaller {
        private final String mId;
        private final boolean mIsResumption;
        private final boolean mTryIsCounted;
        private final int mEventsBefore = mEvents.size();

        Try(String id, FleetRouter router, boolean isResumption) {
            mId = id;
            mIsResumption = isResumption;
            mTryIsCounted = isResumption && mFleet.isCounted(router, mVersions);
        }

        @Override
        public void onData(byte[] bytes) {
            Matcher event = EVENT.matcher(new String(bytes, StandardCharsets.UTF_8));
            while (event.find()) {
                if (mEvents.isEmpty()) {
                    mFirstRequest = mId;
                }
                mEvents.add(Integer.parseInt(event.group(1)));
                mVersions.add(event.group(2));
            }
        }

        @Override
        public void onEnd(ResultCode code) {
            boolean wentOn = mEvents.size() > mEventsBefore || code == ResultCode.OK;
            if (!mIsResumption) {
                mFleet.onBegun(wentOn);
            } else if (mTryIsCounted) {
                mIsCounted = true;
                mHasGoneOn |= wentOn;
            }
            if (code != ResultCode.OK && mTries < MAX_TRIES) {
                mFleet.time()
                        .afterRandomDelay(
                                MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS, StreamCaller.this::send);
            }
        }
    }
}
