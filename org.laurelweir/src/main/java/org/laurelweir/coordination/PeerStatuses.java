package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.laurelweir.consensus.ReplicaId;

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
            if (received.isRecent(now)) {
                recent.add(received.status());
            }
        }
        return recent;
    }

    /** Returns the replica that an instance has last reported, if it did so after a given time. */
    Optional<ReplicaId> replicaReportedSince(String name, Instant since) {
        return Optional.ofNullable(mByName.get(name))
                .filter(r -> r.receivedAt().isAfter(since))
                .map(r -> r.status().replica());
    }

    private record ReceivedStatus(Instant receivedAt, ControlInstanceStatus status) {
        boolean isRecent(Instant now) {
            return !receivedAt.plus(MAX_AGE).isBefore(now);
        }
    }
}
