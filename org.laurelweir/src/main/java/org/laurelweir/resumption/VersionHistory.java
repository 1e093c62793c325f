package org.laurelweir.resumption;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.laurelweir.membership.Backend;

/**
 * The software versions that the backend servers of each service have and lately had, as one
 * control instance is told. Not thread-safe.
 */
public final class VersionHistory {
    private final Duration mRetention;
    private final Map<String, StreamOrigin> mByBackend = new HashMap<>();
    private final Map<StreamOrigin, Usage> mUsages = new HashMap<>();

    /** How many backend servers have a version, and until when there was one. */
    private static final class Usage {
        private int mBackends;
        private Instant mLastUse;
    }

    /**
     * Creates an empty history.
     *
     * @param retention how long a version is remembered after the last backend server left it
     */
    public VersionHistory(Duration retention) {
        mRetention = retention;
    }

    /** Records the version of a backend server that is new, has changed, or has left. */
    public void onChanged(Instant now, Backend b) {
        StreamOrigin origin = new StreamOrigin(b.service(), b.version());
        Usage usage = mUsages.computeIfAbsent(origin, o -> new Usage());
        usage.mLastUse = now;
        boolean left = b.state() == Backend.State.LEFT;
        StreamOrigin before =
                left ? mByBackend.remove(b.ref().id()) : mByBackend.put(b.ref().id(), origin);
        if (before != null) {
            release(now, before);
        }
        if (!left) {
            usage.mBackends++;
        }
    }

    /**
     * Removes the backend servers that are no longer in the membership, and the versions that no
     * backend server has had for the retention.
     *
     * @param isMember returns whether a backend server of that id is in the membership
     */
    public void prune(Instant now, Predicate<String> isMember) {
        Iterator<Map.Entry<String, StreamOrigin>> entries = mByBackend.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<String, StreamOrigin> entry = entries.next();
            if (!isMember.test(entry.getKey())) {
                entries.remove();
                release(now, entry.getValue());
            }
        }
        mUsages.values()
                .removeIf(u -> u.mBackends == 0 && u.mLastUse.plus(mRetention).isBefore(now));
    }

    private void release(Instant now, StreamOrigin origin) {
        Usage usage = mUsages.get(origin);
        usage.mBackends--;
        usage.mLastUse = now;
    }

    /** Returns the number of services whose backend servers have several versions now. */
    public int mixedServiceCount() {
        Map<String, Integer> counts = new HashMap<>();
        mUsages.forEach(
                (origin, usage) -> {
                    if (usage.mBackends > 0) {
                        counts.merge(origin.service(), 1, Integer::sum);
                    }
                });
        return (int) counts.values().stream().filter(c -> c > 1).count();
    }

    /**
     * Returns the versions that a service has or had.
     *
     * @param now the current time
     * @param service the service
     * @param window how far to look back, at most the retention
     */
    public List<String> versions(Instant now, String service, Duration window) {
        List<String> versions = new ArrayList<>();
        mUsages.forEach(
                (origin, usage) -> {
                    boolean isRecent =
                            usage.mBackends > 0 || !usage.mLastUse.plus(window).isBefore(now);
                    if (isRecent && origin.service().equals(service)) {
                        versions.add(origin.version());
                    }
                });
        return versions;
    }
}
