package org.laurelweir.admission;

import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.lib.Decision;

/** Logs each admission decision with its inputs. */
final class DecisionLogger {
    private static final String PROGRAM = "sidecar";

    private final RunningLoad mLoad;
    private final RedirectRanking mRedirectRanking;

    DecisionLogger(RunningLoad load, RedirectRanking redirectRanking) {
        mLoad = load;
        mRedirectRanking = redirectRanking;
    }

    /**
     * Logs a decision.
     *
     * @param choice the backend server, or the name of the result code if the request was refused
     * @param reason why it was chosen or refused
     * @param bound the load above which the request is not admitted
     */
    void log(
            Step step,
            AttemptRequest request,
            String choice,
            AdmissionReason reason,
            double bound) {
        step.emit(
                new SidecarEffect.LogDecision(
                        Decision.builder(step.now(), PROGRAM)
                                .request(request.id().toString())
                                .chat(request.chat())
                                .account(request.account())
                                .service(request.service())
                                .candidates(mRedirectRanking.topCandidates(request))
                                .choice(choice, reason.text())
                                .load(mLoad.work(), bound)
                                .build()));
    }
}
