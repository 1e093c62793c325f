package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.DirectAnnouncements.Outcome;

/**
 * Logs decisions about ignored announcements: each kind at most once a second, with a count.
 * Outcome and announced state make the kind, so that an ignored departure has its own log line and
 * is not hidden by other announcements.
 */
final class IgnoredAnnouncementLogger {
    /** Limits the log lines if another sender keeps sending announcements. */
    private static final Duration LOG_INTERVAL = Duration.ofSeconds(1);

    private final DecisionLogger mDecisionLogger;
    private final Map<Kind, Instant> mNextLogTime = new HashMap<>();
    private final Map<Kind, Integer> mCounts = new HashMap<>();

    IgnoredAnnouncementLogger(DecisionLogger decisionLogger) {
        mDecisionLogger = decisionLogger;
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
        mDecisionLogger.announcementIgnored(
                now, b, outcome.name() + ", " + count + " so far", effects);
    }

    private record Kind(Outcome outcome, Backend.State state) {}
}
