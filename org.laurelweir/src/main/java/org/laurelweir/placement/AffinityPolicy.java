package org.laurelweir.placement;

import java.util.ArrayList;
import java.util.List;

/**
 * Places a chat where its history is likely to be cached: first the backend server that last
 * answered it through this router, then its home, then the next in rank. Ejected backend servers
 * come last. Load plays no part: each sidecar knows its own load and redirects.
 */
public final class AffinityPolicy implements PlacementPolicy {
    /** The home and the two backend servers that two redirects may reach. */
    public static final int MAX_CANDIDATES = 3;

    @Override
    public Placement place(PlacementRequest request, ServiceView view, PlacementHints hints) {
        List<Candidate> ranked = view.ranking().top(request.chat(), MAX_CANDIDATES);
        if (ranked.isEmpty()) {
            return new Placement(ranked, PlacementReason.NO_BACKEND_SERVER, view.version());
        }
        Candidate home = ranked.get(0);
        Candidate lastServer = lastServer(request.chat(), view, hints);
        List<Candidate> order = new ArrayList<>(ranked);
        if (lastServer != null) {
            order.remove(lastServer);
            order.add(0, lastServer);
        }
        order.sort((a, b) -> Boolean.compare(hints.isEjected(a.id()), hints.isEjected(b.id())));
        return new Placement(order, reason(order.get(0), home, lastServer), view.version());
    }

    private static Candidate lastServer(ChatKey chat, ServiceView view, PlacementHints hints) {
        String id = hints.lastServer(chat);
        Candidate lastServer = id == null ? null : view.candidate(id);
        return lastServer == null || lastServer.draining() ? null : lastServer;
    }

    private static PlacementReason reason(Candidate first, Candidate home, Candidate lastServer) {
        if (first.equals(home)) {
            return PlacementReason.HOME;
        }
        return first.equals(lastServer) ? PlacementReason.SEAT_HINT : PlacementReason.HOME_EJECTED;
    }
}
