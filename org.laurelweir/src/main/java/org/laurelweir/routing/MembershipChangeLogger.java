package org.laurelweir.routing;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.laurelweir.lib.Decision;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipCursor;

/**
 * Logs changes of a router's view of the backend servers. Writes one line for each service and
 * state that an answer of control changes, however many backend servers the answer names.
 */
final class MembershipChangeLogger {
    private static final int MAX_LISTED_IDS = 8;

    private final Map<String, Map<Backend.State, List<String>>> mPending = new TreeMap<>();

    /** Adds a backend server that is new or changed its state. */
    void onChange(Backend b) {
        mPending.computeIfAbsent(b.service(), s -> new TreeMap<>())
                .computeIfAbsent(b.state(), s -> new ArrayList<>())
                .add(b.ref().id());
    }

    /**
     * Logs the changes that were added since the last call.
     *
     * @param source the control instance and version that the changes come from
     */
    void flush(Step s, MembershipCursor source) {
        mPending.forEach(
                (service, states) ->
                        states.forEach(
                                (state, ids) ->
                                        s.emit(toEffect(s.now(), source, service, state, ids))));
        mPending.clear();
    }

    private static RouterEffect toEffect(
            Instant now,
            MembershipCursor source,
            String service,
            Backend.State state,
            List<String> ids) {
        String from = source.control() + " at version " + source.version();
        return new RouterEffect.LogDecision(
                Decision.builder(now, DecisionLogger.PROGRAM)
                        .service(service)
                        .candidates(ids.subList(0, Math.min(ids.size(), MAX_LISTED_IDS)))
                        .choice(state.name(), ids.size() + " changed, told by " + from)
                        .build());
    }
}
