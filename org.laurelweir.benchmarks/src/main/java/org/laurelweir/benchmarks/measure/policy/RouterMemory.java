package org.laurelweir.benchmarks.measure.policy;

import java.time.Instant;
import java.util.concurrent.TimeUnit;
import org.laurelweir.benchmarks.measure.fleet.Fleet;
import org.laurelweir.placement.Candidate;
import org.laurelweir.placement.ChatDirectory;
import org.laurelweir.placement.ChatKey;
import org.laurelweir.placement.OutlierConfig;
import org.laurelweir.placement.Outliers;
import org.laurelweir.placement.PlacementHints;

/** What a router remembers from the answers that it relayed. */
final class RouterMemory implements PlacementHints {
    private static final int MAX_SEATS = 20_000;

    private final Fleet mFleet;
    private final ChatDirectory mSeats = new ChatDirectory(MAX_SEATS);
    private final Outliers mOutliers = new Outliers(OutlierConfig.DEFAULT);

    RouterMemory(Fleet fleet) {
        mFleet = fleet;
    }

    private Instant now() {
        long micros = mFleet.now();
        long second = TimeUnit.SECONDS.toMicros(1);
        return Instant.ofEpochSecond(micros / second, micros % second * 1000);
    }

    /** Remembers only chats that are not at home; for the others the ranking says as much. */
    void onSeat(ChatKey chat, String id, Candidate home) {
        if (home != null && home.id().equals(id)) {
            mSeats.remove(chat);
        } else {
            mSeats.put(chat, id);
        }
    }

    void onSuccess(String id) {
        mOutliers.onSuccess(id);
    }

    void onFailure(String id, int servers) {
        mOutliers.onFailure(id, servers, now());
    }

    @Override
    public String lastServer(ChatKey chat) {
        return mSeats.find(chat);
    }

    @Override
    public boolean isEjected(String id) {
        return mOutliers.isEjected(id, now());
    }
}
