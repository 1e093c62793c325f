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
 * The backend servers that a whole view did not name. A control instance that has just started
 * answers with the few that have announced themselves yet, so that the others are neither gone nor
 * known to be there: each is waited for, then given no new work, then dropped.
 */
final class MissingBackends {
    /**
     * Two announcements, each about a second apart, and an exchange: one that serves and reaches
     * control has been heard by then. One that said that it leaves, to instances that have all
     * forgotten it since, never is.
     */
    static final Duration SUSPEND_AFTER = Duration.ofMillis(2_500);

    /** A backend server that control can't hear goes on with what it has until then. */
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

    /** Notes that a whole view lacks some; those that were missing before stay so since then. */
    void add(Instant now, Set<String> ids) {
        ids.forEach(id -> mMissing.putIfAbsent(id, new Missing(now, false)));
    }

    /**
     * Notes that one was named again.
     *
     * @return whether it had been given no new work meanwhile
     */
    boolean remove(String id) {
        Missing named = mMissing.remove(id);
        return named != null && named.suspended();
    }

    Set<String> ids() {
        return Collections.unmodifiableSet(mMissing.keySet());
    }

    /** Returns those that have been missing too long for new work, and have it still. */
    List<String> dueForSuspension(Instant now) {
        List<String> unheard = new ArrayList<>();
        mMissing.forEach(
                (id, missing) -> {
                    if (!missing.suspended() && missing.isDue(now, SUSPEND_AFTER)) {
                        unheard.add(id);
                    }
                });
        return unheard;
    }

    /** Notes that one gets no new work any more. */
    void suspend(String id) {
        mMissing.computeIfPresent(id, (name, missing) -> new Missing(missing.since(), true));
    }

    /** Returns those that have been missing too long to be kept, and forgets them. */
    List<String> takeExpired(Instant now) {
        List<String> dropped = new ArrayList<>();
        mMissing.forEach(
                (id, missing) -> {
                    if (missing.isDue(now, REMOVE_AFTER)) {
                        dropped.add(id);
                    }
                });
        dropped.forEach(mMissing::remove);
        return dropped;
    }
}
