package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.laurelweir.consensus.Membership;
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

    /** Longer than instances take to join and become voters, after any number of restarts. */
    static final Duration TOO_FEW_VOTERS_TIME = Duration.ofSeconds(30);

    private static final String FULL = "LOSSES_BEARABLE";
    private static final String REDUCED = "FEWER_LOSSES_BEARABLE";
    private static final String TOO_FEW_VOTERS = "TOO_FEW_VOTERS";

    private Key mCandidate;
    private Instant mCandidateSince;
    private Key mLogged;
    private Instant mTooFewVotersSince;
    private boolean mIsTooFewVotersLogged;

    /** Forgets everything, because this instance does not lead. */
    void reset() {
        mCandidate = null;
        mLogged = null;
        mTooFewVotersSince = null;
        mIsTooFewVotersLogged = false;
    }

    /**
     * Logs the tolerance if it has changed.
     *
     * @param oldestReply age of the oldest last reply among the voters that count
     */
    void update(
            Instant now,
            Membership members,
            LossTolerance tolerance,
            Duration oldestReply,
            Consumer<? super ControlEffect> effects) {
        Key key = Key.of(tolerance);
        if (!key.equals(mCandidate)) {
            mCandidate = key;
            mCandidateSince = now;
        }
        if (!key.equals(mLogged) && hasLasted(mCandidateSince, SETTLE_TIME, now)) {
            mLogged = key;
            log(now, members, tolerance, oldestReply, effects);
        }
        checkVoterCount(now, members, tolerance, effects);
    }

    private static boolean hasLasted(Instant since, Duration time, Instant now) {
        return !since.plus(time).isAfter(now);
    }

    private static void log(
            Instant now,
            Membership members,
            LossTolerance t,
            Duration oldestReply,
            Consumer<? super ControlEffect> effects) {
        int counted = members.voters().size() - t.missing().size();
        String reason =
                String.format(
                        "the log can bear %d losses now, %d with all voters%s; %s%d of %d voters"
                                + " count, each heard within %d ms",
                        t.now(),
                        t.possible(),
                        promiseText(t),
                        missingText(t),
                        counted,
                        members.voters().size(),
                        oldestReply.toMillis());
        List<String> missing = t.missing().stream().map(m -> m.voter().toString()).toList();
        String choice = t.isReduced() ? REDUCED : FULL;
        Decision decision = decision(now, missing, choice, reason);
        effects.accept(
                t.isReduced()
                        ? new ControlEffect.LogWarning(decision)
                        : new ControlEffect.LogDecision(decision));
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

    /** Logs once that there are too few voters for what is promised, even if all are well. */
    private void checkVoterCount(
            Instant now,
            Membership members,
            LossTolerance t,
            Consumer<? super ControlEffect> effects) {
        if (!t.hasTooFewVoters()) {
            mTooFewVotersSince = null;
            mIsTooFewVotersLogged = false;
            return;
        }
        if (mTooFewVotersSince == null) {
            mTooFewVotersSince = now;
        }
        if (mIsTooFewVotersLogged || !hasLasted(mTooFewVotersSince, TOO_FEW_VOTERS_TIME, now)) {
            return;
        }
        mIsTooFewVotersLogged = true;
        int promised = t.promised().orElse(0);
        String reason =
                String.format(
                        "%d losses are promised, which takes %d instances with disks; the %d voters"
                                + " can bear %d even if all are well",
                        promised, 2 * promised + 1, members.voters().size(), t.possible());
        List<String> voters = members.voters().stream().map(ReplicaId::toString).toList();
        effects.accept(new ControlEffect.LogWarning(decision(now, voters, TOO_FEW_VOTERS, reason)));
    }

    private static Decision decision(
            Instant now, List<String> candidates, String choice, String reason) {
        return Decision.builder(now, DecisionLogger.PROGRAM)
                .candidates(candidates)
                .choice(choice, reason)
                .build();
    }

    /** What a line is written for if it changes. */
    private record Key(int now, int possible, Set<String> missing) {
        static Key of(LossTolerance t) {
            Set<String> missing = new TreeSet<>();
            t.missing().forEach(m -> missing.add(m.voter() + " " + m.cause()));
            return new Key(t.now(), t.possible(), missing);
        }
    }
}
