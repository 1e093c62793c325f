package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What the other control instances said of themselves last. */
final class PeerStatuses {
    private static final Duration MAX_AGE = Duration.ofSeconds(2);

    private final Map<String, ReceivedStatus> mByName = new TreeMap<>();

    void put(Instant now, ControlInstanceStatus peer) {
        mByName.put(peer.replica().name(), new ReceivedStatus(now, peer));
    }

    List<ControlInstanceStatus> all() {
        return mByName.values().stream().map(ReceivedStatus::status).toList();
    }

    /** Returns those that were told moments ago. */
    List<ControlInstanceStatus> recent(Instant now) {
        List<ControlInstanceStatus> fresh = new ArrayList<>();
        for (ReceivedStatus t : mByName.values()) {
            if (!t.receivedAt().plus(MAX_AGE).isBefore(now)) {
                fresh.add(t.status());
            }
        }
        return fresh;
    }

    private record ReceivedStatus(Instant receivedAt, ControlInstanceStatus status) {}
}
