package org.laurelweir.routing;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.laurelweir.lib.Decision;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipCursor;

/**
 * Logs changes of a router's view of the backend servers. Writes one line for each service, state
 * and software version that an answer of control changes, however many backend servers the answer
 * names.
 */
final class MembershipChangeLogger {
    private static final int MAX_LISTED_IDS = 8;
    private static final Comparator<Change> CHANGE_ORDER =
            Comparator.comparing(Change::service)
                    .thenComparing(Change::state)
                    .thenComparing(Change::version);

    /** What the backend servers of one line have in common. */
    private record Change(String service, Backend.State state, String version) {}

    private final Map<Change, List<String>> mPending = new TreeMap<>(CHANGE_ORDER);

    /** Adds a backend server that is new or changed its state. */
    void onChange(Backend b) {
        Change change = new Change(b.service(), b.state(), b.version());
        mPending.computeIfAbsent(change, c -> new ArrayList<>()).add(b.ref().id());
    }

    /**
     * Logs the changes that were added since the last call.
     *
     * @param source the control instance and version that the changes come from
     */
    void flush(Step s, MembershipCursor source) {
        mPending.forEach((change, ids) -> s.emit(toEffect(s.now(), source, change, ids)));
        mPending.clear();
    }

    private static RouterEffect toEffect(
            Instant now, MembershipCursor source, Change change, List<String> ids) {
        String from = source.control() + " at version " + source.version();
        return new RouterEffect.LogDecision(
                Decision.builder(now, DecisionLogger.PROGRAM)
                        .service(change.service())
                        .candidates(ids.subList(0, Math.min(ids.size(), MAX_LISTED_IDS)))
                        .version(change.version())
                        .choice(change.state().name(), ids.size() + " changed, told by " + from)
                        .build());
    }
}
