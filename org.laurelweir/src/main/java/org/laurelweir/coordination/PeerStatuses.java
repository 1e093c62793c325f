package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The last statuses received from the other control instances. */
final class PeerStatuses {
    private static final Duration MAX_AGE = Duration.ofSeconds(2);

    private final Map<String, ReceivedStatus> mByName = new TreeMap<>();

    void put(Instant now, ControlInstanceStatus peer) {
        mByName.put(peer.replica().name(), new ReceivedStatus(now, peer));
    }

    /** Returns the statuses received within the last two seconds. */
    List<ControlInstanceStatus> recent(Instant now) {
        List<ControlInstanceStatus> recent = new ArrayList<>();
        for (ReceivedStatus received : mByName.values()) {
            if (!received.receivedAt().plus(MAX_AGE).isBefore(now)) {
                recent.add(received.status());
            }
        }
        return recent;
    }

    private record ReceivedStatus(Instant receivedAt, ControlInstanceStatus status) {}
}
