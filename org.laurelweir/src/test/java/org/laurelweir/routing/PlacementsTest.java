package org.laurelweir.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.laurelweir.attempt.LoadHint;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.MembershipDelta;

/** Tests what a router knows about backend servers when it chooses among them. */
class PlacementsTest {
    private static final Instant NOW = Instant.EPOCH;

    // Guards against a server that receives no requests after its sidecar was killed and restarted.
    // The last load that the killed run reported, one running request, would remain: the router
    // always chooses the idle server first, so that no answer ever corrects the load.
    @Test
    void restartedSidecarHasNoKnownLoad() {
        Memberships memberships = new Memberships(b -> {});
        Placements placements =
                new Placements(new RouterConfig("r", 1, 1, Duration.ofSeconds(1), 16), memberships);
        announce(memberships, 1);
        placements.onLoad(NOW, new BackendRef("s", 1), new LoadHint(1, 1, false));
        assertThat(placements.load("s").runningWork()).isEqualTo(1);
        announce(memberships, 2);
        assertThat(placements.load("s")).isEqualTo(LoadHint.UNKNOWN);
        placements.onLoad(NOW, new BackendRef("s", 1), new LoadHint(1, 1, false));
        assertThat(placements.load("s")).isEqualTo(LoadHint.UNKNOWN);
    }

    private static void announce(Memberships memberships, long incarnation) {
        BackendRef ref = new BackendRef("s", incarnation);
        Backend b = new Backend(ref, "svc", "dc", "rg", "s", Backend.State.SERVING, 1, 1);
        MembershipCursor cursor = new MembershipCursor("c", 1, incarnation);
        memberships.apply(NOW, new MembershipDelta(cursor, true, List.of(b)));
    }
}
