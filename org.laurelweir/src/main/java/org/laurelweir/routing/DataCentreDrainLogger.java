package org.laurelweir.routing;

import java.util.List;
import org.laurelweir.lib.Decision;
import org.laurelweir.membership.DrainedDataCentres;
import org.laurelweir.membership.MembershipCursor;

/** Logs when a router begins or ends to obey an operator's drain order of a data centre. */
final class DataCentreDrainLogger {
    private static final String DRAINED = "DATA_CENTRE_DRAINED";
    private static final String UNDRAINED = "DATA_CENTRE_UNDRAINED";

    private DrainedDataCentres mLast = DrainedDataCentres.NONE;

    /**
     * Logs one line for each data centre that changed since the last call.
     *
     * @param source the control instance that sent the set
     */
    void log(Step s, DrainedDataCentres drained, MembershipCursor source) {
        for (String name : drained.names()) {
            if (!mLast.contains(name)) {
                log(s, name, DRAINED, drained, source);
            }
        }
        for (String name : mLast.names()) {
            if (!drained.contains(name)) {
                log(s, name, UNDRAINED, drained, source);
            }
        }
        mLast = drained;
    }

    private static void log(
            Step s, String name, String choice, DrainedDataCentres set, MembershipCursor source) {
        String reason = "order at position " + set.position() + ", from " + source.control();
        s.emit(
                new RouterEffect.LogDecision(
                        Decision.builder(s.now(), DecisionLogger.PROGRAM)
                                .candidates(List.of(name))
                                .choice(choice, reason)
                                .build()));
    }
}
