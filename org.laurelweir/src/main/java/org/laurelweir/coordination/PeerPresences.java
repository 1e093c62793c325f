package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What the other control instances said of themselves last. */
final class PeerPresences {
    private static final Duration FRESH = Duration.ofSeconds(2);

    private final Map<String, Told> mTold = new TreeMap<>();

    void put(Instant now, ControlInstanceStatus peer) {
        mTold.put(peer.replica().name(), new Told(now, peer));
    }

    List<ControlInstanceStatus> all() {
        return mTold.values().stream().map(Told::presence).toList();
    }

    /** Returns those that were told moments ago. */
    List<ControlInstanceStatus> fresh(Instant now) {
        List<ControlInstanceStatus> fresh = new ArrayList<>();
        for (Told t : mTold.values()) {
            if (!t.at().plus(FRESH).isBefore(now)) {
                fresh.add(t.presence());
            }
        }
        return fresh;
    }

    private record Told(Instant at, ControlInstanceStatus presence) {}
}
