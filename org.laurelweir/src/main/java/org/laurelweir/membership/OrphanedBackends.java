package org.laurelweir.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Announcements that this instance made before it was started anew, as peers remember them. A
 * sidecar that still lives has spoken here or elsewhere by the deadline; one that died meanwhile is
 * missed by nobody else.
 */
final class OrphanedBackends {
    private final PauseTolerantClock mTime;
    private final Duration mAfter;
    private final Map<String, Orphan> mOrphans = new LinkedHashMap<>();

    OrphanedBackends(PauseTolerantClock time, Duration after) {
        mTime = time;
        mAfter = after;
    }

    void add(Backend backend) {
        if (backend.state() != Backend.State.LEFT) {
            mOrphans.put(backend.ref().id(), new Orphan(backend, mTime.seen().plus(mAfter)));
        }
    }

    void remove(String id) {
        mOrphans.remove(id);
    }

    List<Backend> due() {
        List<Backend> due = new ArrayList<>();
        while (!mOrphans.isEmpty()) {
            Orphan first = mOrphans.values().iterator().next();
            if (first.deadline().compareTo(mTime.seen()) > 0) {
                break;
            }
            due.add(first.backend());
            mOrphans.remove(first.backend().ref().id());
        }
        return due;
    }

    private record Orphan(Backend backend, Duration deadline) {}
}
