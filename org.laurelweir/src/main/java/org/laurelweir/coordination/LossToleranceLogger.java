package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.coordination.LossTolerance.MissingVoter;
import org.laurelweir.lib.Decision;

/**
 * Logs how many losses the log can bear: once for each leadership, and whenever the number or the
 * missing voters change. A line that tells of fewer losses than promised or possible is a warning.
 */
final class LossToleranceLogger {
    /**
     * Time for which a change has to last before it is logged. A new leader hears the other voters
     * within it, or counts them as silent.
     */
    static final Duration SETTLE_TIME = Duration.ofMillis(1500);

    private static final String FULL = "LOSSES_BEARABLE";
    private static final String REDUCED = "FEWER_LOSSES_BEARABLE";

    private Key mCandidate;
    private Instant mCandidateSince;
    private Key mLogged;

    /** Forgets everything, because this instance does not lead. */
    void reset() {
        mCandidate = null;
        mLogged = null;
    }

    /** Logs the tolerance if it has changed. */
    void update(Instant now, LossReport report, Consumer<? super ControlEffect> effects) {
        Key key = Key.of(report);
        if (!key.equals(mCandidate)) {
            mCandidate = key;
            mCandidateSince = now;
        }
        if (!key.equals(mLogged) && !mCandidateSince.plus(SETTLE_TIME).isAfter(now)) {
            mLogged = key;
            log(now, report, effects);
        }
    }

    private static void log(
            Instant now, LossReport report, Consumer<? super ControlEffect> effects) {
        LossTolerance t = report.tolerance();
        List<String> missing = t.missing().stream().map(m -> m.voter().toString()).toList();
        Decision decision =
                Decision.builder(now, DecisionLogger.PROGRAM)
                        .candidates(missing)
                        .choice(t.isReduced() ? REDUCED : FULL, reason(report))
                        .build();
        effects.accept(
                t.isReduced()
                        ? new ControlEffect.LogWarning(decision)
                        : new ControlEffect.LogDecision(decision));
    }

    private static String reason(LossReport report) {
        LossTolerance t = report.tolerance();
        return String.format(
                "the log can bear %d losses now, %d with all voters%s; %s%d of %d voters count,"
                        + " each heard within %d ms%s",
                t.now(),
                t.possible(),
                promiseText(t),
                missingText(t),
                report.countedVoters(),
                report.voterCount(),
                report.oldestReply().toMillis(),
                learnersText(report));
    }

    private static String promiseText(LossTolerance t) {
        return t.promised().isPresent() ? ", promised are " + t.promised().getAsInt() : "";
    }

    private static String missingText(LossTolerance t) {
        if (t.missing().isEmpty()) {
            return "";
        }
        return t.missing().stream()
                .map(LossToleranceLogger::missingText)
                .collect(Collectors.joining(", ", "missing: ", "; "));
    }

    private static String missingText(MissingVoter m) {
        String name = m.voter().toString();
        return switch (m.cause()) {
            case SILENT -> name + " silent for " + m.silence().toMillis() + " ms";
            case BEHIND -> name + " behind";
            case DISK_LOST -> name + " has lost its disk";
        };
    }

    /** Returns the learners that could take the place of a missing voter. */
    private static String learnersText(LossReport report) {
        if (report.readyLearners().isEmpty()) {
            return "";
        }
        return report.readyLearners().stream()
                .map(ReplicaId::toString)
                .collect(Collectors.joining(" ", "; have the log and don't vote: ", ""));
    }

    /** What a line is written for if it changes. Learners matter only while a voter is missing. */
    private record Key(int now, int possible, Set<String> missing, List<ReplicaId> learners) {
        static Key of(LossReport report) {
            LossTolerance t = report.tolerance();
            Set<String> missing = new TreeSet<>();
            t.missing().forEach(m -> missing.add(m.voter() + " " + m.cause()));
            List<ReplicaId> learners = missing.isEmpty() ? List.of() : report.readyLearners();
            return new Key(t.now(), t.possible(), missing, learners);
        }
    }
}
