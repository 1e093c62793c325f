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

/**
 * A router's placement hints, learned from the answers that it relays: chat locations and failing
 * servers.
 */
final class RouterState implements PlacementHints {
    private static final int MAX_CHAT_LOCATIONS = 20_000;

    private final Fleet mFleet;
    private final ChatDirectory mChatLocations = new ChatDirectory(MAX_CHAT_LOCATIONS);
    private final Outliers mOutliers = new Outliers(OutlierConfig.DEFAULT);

    RouterState(Fleet fleet) {
        mFleet = fleet;
    }

    private Instant now() {
        long micros = mFleet.now();
        long microsPerSecond = TimeUnit.SECONDS.toMicros(1);
        return Instant.ofEpochSecond(micros / microsPerSecond, micros % microsPerSecond * 1000);
    }

    /** Stores the chat's location unless it is the home, which the ranking already gives. */
    void onChatLocated(ChatKey chat, String id, Candidate home) {
        if (home != null && home.id().equals(id)) {
            mChatLocations.remove(chat);
        } else {
            mChatLocations.put(chat, id);
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
        return mChatLocations.find(chat);
    }

    @Override
    public boolean isEjected(String id) {
        return mOutliers.isEjected(id, now());
    }
}
