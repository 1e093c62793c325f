package org.laurelweir.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The backend servers that a full view of control did not name. A control instance that has just
 * started answers with the few backend servers that have announced themselves so far. The others
 * may have left or still be there. Each missing one is first kept, then suspended, so that it
 * receives no new requests, and then removed.
 */
final class MissingBackends {
    /**
     * After this time a missing backend server receives no new requests. It covers two
     * announcements, about a second apart, and an exchange: a backend server that serves and
     * reaches control has been named again by then. One that announced its departure to control
     * instances that have all lost their state since is never named again.
     */
    static final Duration SUSPEND_AFTER = Duration.ofMillis(2_500);

    /**
     * After this time a missing backend server is removed. A backend server that control cannot
     * reach finishes its running requests until then.
     */
    static final Duration REMOVE_AFTER = Duration.ofSeconds(5);

    private final Map<String, Missing> mMissing = new HashMap<>();

    private record Missing(Instant since, boolean suspended) {
        boolean isDue(Instant now, Duration after) {
            return !now.isBefore(since.plus(after));
        }
    }

    boolean isEmpty() {
        return mMissing.isEmpty();
    }

    /** Adds backend servers that a full view lacks. Those already missing keep their start time. */
    void add(Instant now, Set<String> ids) {
        ids.forEach(id -> mMissing.putIfAbsent(id, new Missing(now, false)));
    }

    /**
     * Removes a backend server that control named again.
     *
     * @return whether it was suspended
     */
    boolean remove(String id) {
        Missing named = mMissing.remove(id);
        return named != null && named.suspended();
    }

    /** Returns whether a backend server is missing and receives no new requests. */
    boolean isSuspended(String id) {
        Missing missing = mMissing.get(id);
        return missing != null && missing.suspended();
    }

    Set<String> ids() {
        return Collections.unmodifiableSet(mMissing.keySet());
    }

    /** Returns the backend servers that are due for suspension and not suspended yet. */
    List<String> dueForSuspension(Instant now) {
        List<String> due = new ArrayList<>();
        mMissing.forEach(
                (id, missing) -> {
                    if (!missing.suspended() && missing.isDue(now, SUSPEND_AFTER)) {
                        due.add(id);
                    }
                });
        return due;
    }

    /** Marks a backend server as suspended. */
    void suspend(String id) {
        mMissing.computeIfPresent(id, (name, missing) -> new Missing(missing.since(), true));
    }

    /**
     * Returns the backend servers whose time to be removed has come, and drops them from this
     * record.
     */
    List<String> takeExpired(Instant now) {
        List<String> expired = new ArrayList<>();
        mMissing.forEach(
                (id, missing) -> {
                    if (missing.isDue(now, REMOVE_AFTER)) {
                        expired.add(id);
                    }
                });
        expired.forEach(mMissing::remove);
        return expired;
    }
}
