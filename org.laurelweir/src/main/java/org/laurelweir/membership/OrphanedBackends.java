package org.laurelweir.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Backend servers that this instance announced before it restarted, as its peers return them. A
 * sidecar that is alive reports to this or another instance before the deadline. If a sidecar died
 * during the restart, no other instance notices that it is missing.
 */
final class OrphanedBackends {
    private final PauseTolerantClock mClock;
    private final Duration mTimeout;
    private final Map<String, Orphan> mOrphans = new LinkedHashMap<>();

    OrphanedBackends(PauseTolerantClock clock, Duration timeout) {
        mClock = clock;
        mTimeout = timeout;
    }

    void add(Backend backend) {
        if (backend.state() != Backend.State.LEFT) {
            mOrphans.put(backend.ref().id(), new Orphan(backend, mClock.elapsed().plus(mTimeout)));
        }
    }

    void remove(String id) {
        mOrphans.remove(id);
    }

    /** Removes and returns the backend servers whose deadline has passed. */
    List<Backend> removeDue() {
        List<Backend> due = new ArrayList<>();
        while (!mOrphans.isEmpty()) {
            Orphan first = mOrphans.values().iterator().next();
            if (first.deadline().compareTo(mClock.elapsed()) > 0) {
                break;
            }
            due.add(first.backend());
            mOrphans.remove(first.backend().ref().id());
        }
        return due;
    }

    private record Orphan(Backend backend, Duration deadline) {}
}
