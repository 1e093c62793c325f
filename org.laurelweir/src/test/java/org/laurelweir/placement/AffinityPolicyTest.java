package org.laurelweir.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the order of a router's candidates. */
class AffinityPolicyTest {
    private static final ChatKey CHAT = ChatKey.of("nordhavn", "chat");
    private static final PlacementRequest REQUEST =
            new PlacementRequest(CHAT, "nordhavn", new WorkEstimate(100, 0, 100));

    private final ServiceView mView = Candidates.view(6);
    private final List<Candidate> mRankedServers = mView.ranking().top(CHAT, 6);
    private final AffinityPolicy mPolicy = new AffinityPolicy();

    @Test
    void homeIsFollowedByTheNextInRank() {
        Placement p = mPolicy.place(REQUEST, mView, PlacementHints.NONE);
        assertThat(p.candidates()).isEqualTo(mRankedServers.subList(0, 3));
        assertThat(p.reason()).isEqualTo(PlacementReason.HOME);
    }

    @Test
    void lastServerComesBeforeTheHome() {
        Placement p = mPolicy.place(REQUEST, mView, hints(mRankedServers.get(4).id(), null));
        assertThat(p.first()).isEqualTo(mRankedServers.get(4));
        assertThat(p.candidates().get(1)).isEqualTo(mRankedServers.get(0));
        assertThat(p.reason()).isEqualTo(PlacementReason.SEAT_HINT);
    }

    @Test
    void ejectedHomeIsTriedLast() {
        Placement p = mPolicy.place(REQUEST, mView, hints(null, mRankedServers.get(0).id()));
        assertThat(p.candidates())
                .containsExactly(
                        mRankedServers.get(1), mRankedServers.get(2), mRankedServers.get(0));
        assertThat(p.reason()).isEqualTo(PlacementReason.HOME_EJECTED);
    }

    @Test
    void emptyViewPlacesNothing() {
        Placement p = mPolicy.place(REQUEST, ServiceView.empty("s"), PlacementHints.NONE);
        assertThat(p.first()).isNull();
        assertThat(p.reason()).isEqualTo(PlacementReason.NO_BACKEND_SERVER);
    }

    private static PlacementHints hints(String lastServer, String ejected) {
        return new PlacementHints() {
            @Override
            public String lastServer(ChatKey chat) {
                return lastServer;
            }

            @Override
            public boolean isEjected(String id) {
                return id.equals(ejected);
            }
        };
    }
}
