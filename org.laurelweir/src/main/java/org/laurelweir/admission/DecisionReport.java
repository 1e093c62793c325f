package org.laurelweir.admission;

import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.lib.Decision;

/** Reports each admission decision with its inputs. */
final class DecisionReport {
    private static final String PROGRAM = "sidecar";

    private final RunningLoad mLoad;
    private final NextInRank mNext;

    DecisionReport(RunningLoad load, NextInRank next) {
        mLoad = load;
        mNext = next;
    }

    /**
     * Reports a decision.
     *
     * @param choice the backend server, or the result code's name where the request was refused
     * @param reason why
     * @param bound the load above which the request would not be taken
     */
    void decided(
            Step step,
            AttemptRequest request,
            String choice,
            AdmissionReason reason,
            double bound) {
        step.emit(
                new SidecarEffect.Decided(
                        new Decision(
                                step.now(),
                                PROGRAM,
                                request.id().toString(),
                                request.chat(),
                                request.account(),
                                request.service(),
                                mNext.candidates(request),
                                choice,
                                reason.text(),
                                mLoad.work(),
                                bound)));
    }
}
