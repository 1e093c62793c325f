package org.laurelweir.placement;

import java.util.ArrayList;
import java.util.List;

/**
 * Places a chat where its history is likely to be: first the backend server that last answered it
 * through this router, else its home, then the next in rank. Load plays no part here: the sidecar
 * knows its own, and redirects.
 */
public final class AffinityPolicy implements PlacementPolicy {
    /** Home and what two redirects may reach. */
    public static final int MAX_CANDIDATES = 3;

    @Override
    public Placement place(PlacementRequest request, ServiceView view, PlacementHints hints) {
        List<Candidate> ranked = view.ranking().top(request.chat(), MAX_CANDIDATES);
        if (ranked.isEmpty()) {
            return new Placement(ranked, PlacementReason.NO_BACKEND_SERVER, view.version());
        }
        Candidate home = ranked.get(0);
        Candidate seat = lastServer(request.chat(), view, hints);
        List<Candidate> order = new ArrayList<>(ranked);
        if (seat != null) {
            order.remove(seat);
            order.add(0, seat);
        }
        order.sort((a, b) -> Boolean.compare(hints.isEjected(a.id()), hints.isEjected(b.id())));
        return new Placement(order, reason(order.get(0), home, seat), view.version());
    }

    private static Candidate lastServer(ChatKey chat, ServiceView view, PlacementHints hints) {
        String id = hints.lastServer(chat);
        Candidate seat = id == null ? null : view.candidate(id);
        return seat == null || seat.draining() ? null : seat;
    }

    private static PlacementReason reason(Candidate first, Candidate home, Candidate seat) {
        if (first.equals(home)) {
            return PlacementReason.HOME;
        }
        return first.equals(seat) ? PlacementReason.SEAT_HINT : PlacementReason.HOME_EJECTED;
    }
}
