package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.DirectAnnouncements.Outcome;

/**
 * Notes announcements that were passed over: each kind at most once a second, with a count. One
 * that says its backend server leaves is a kind of its own, so that others don't hide it.
 */
final class PassedOverNotes {
    /** Another writer may send without end; a line a second tells as much as all of them. */
    private static final Duration LOG_INTERVAL = Duration.ofSeconds(1);

    private final DecisionNotes mNotes;
    private final Map<Kind, Instant> mNextLogTime = new HashMap<>();
    private final Map<Kind, Integer> mCounts = new HashMap<>();

    PassedOverNotes(DecisionNotes notes) {
        mNotes = notes;
    }

    void log(Instant now, Backend b, Outcome outcome, Consumer<? super ControlEffect> effects) {
        if (outcome == Outcome.TAKEN) {
            return;
        }
        Kind kind = new Kind(outcome, b.state());
        int count = mCounts.merge(kind, 1, Integer::sum);
        if (now.isBefore(mNextLogTime.getOrDefault(kind, Instant.MIN))) {
            return;
        }
        mNextLogTime.put(kind, now.plus(LOG_INTERVAL));
        mNotes.announcementIgnored(now, b, outcome.name() + ", " + count + " so far", effects);
    }

    private record Kind(Outcome outcome, Backend.State state) {}
}
