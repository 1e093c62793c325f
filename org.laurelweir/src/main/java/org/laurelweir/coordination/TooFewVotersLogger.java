package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.Consumer;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.lib.Decision;

/**
 * Logs once that there are too few voters for the losses that are promised, even if all are well.
 */
final class TooFewVotersLogger {
    /** Longer than instances take to join and become voters, after any number of restarts. */
    static final Duration PATIENCE = Duration.ofSeconds(30);

    private static final String TOO_FEW_VOTERS = "TOO_FEW_VOTERS";

    private Instant mSince;
    private boolean mIsLogged;

    /** Forgets everything, because there are enough voters or this instance does not lead. */
    void reset() {
        mSince = null;
        mIsLogged = false;
    }

    void update(Instant now, LossReport report, Consumer<? super ControlEffect> effects) {
        if (!report.tolerance().hasTooFewVoters()) {
            reset();
            return;
        }
        if (mSince == null) {
            mSince = now;
        }
        if (mIsLogged || mSince.plus(PATIENCE).isAfter(now)) {
            return;
        }
        mIsLogged = true;
        List<String> voters =
                report.members().allVoters().stream().map(ReplicaId::toString).toList();
        effects.accept(
                new ControlEffect.LogWarning(
                        Decision.builder(now, DecisionLogger.PROGRAM)
                                .candidates(voters)
                                .choice(TOO_FEW_VOTERS, reason(report))
                                .build()));
    }

    private static String reason(LossReport report) {
        int promised = report.tolerance().promised().orElse(0);
        return String.format(
                "%d losses are promised, which takes %d instances with disks; the %d voters can"
                        + " bear %d even if all are well",
                promised, 2 * promised + 1, report.voterCount(), report.tolerance().possible());
    }
}
