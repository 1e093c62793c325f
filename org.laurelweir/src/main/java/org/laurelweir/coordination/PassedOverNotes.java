package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Consumer;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.DirectSessions.Outcome;

/** Notes announcements that were passed over: each kind at most once a second, with a count. */
final class PassedOverNotes {
    /** Another writer may send without end; a line a second tells as much as all of them. */
    private static final Duration INTERVAL = Duration.ofSeconds(1);

    private final DecisionNotes mNotes;
    private final Map<Outcome, Instant> mNext = new EnumMap<>(Outcome.class);
    private final Map<Outcome, Integer> mCounts = new EnumMap<>(Outcome.class);

    PassedOverNotes(DecisionNotes notes) {
        mNotes = notes;
    }

    void note(Instant now, Backend b, Outcome outcome, Consumer<? super ControlEffect> effects) {
        if (outcome == Outcome.TAKEN) {
            return;
        }
        int count = mCounts.merge(outcome, 1, Integer::sum);
        if (now.isBefore(mNext.getOrDefault(outcome, Instant.MIN))) {
            return;
        }
        mNext.put(outcome, now.plus(INTERVAL));
        mNotes.passedOver(now, b, outcome.name() + ", " + count + " so far", effects);
    }
}
