package org.laurelweir.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.laurelweir.lib.BackendRef;

/** Announcements of backend servers that have no sidecar. */
class DirectSessionsTest {
    private static final Instant NOW = Instant.EPOCH;

    private final SharedMembership mA = membership("a", "b");
    private final SharedMembership mB = membership("b", "a");
    private final DirectSessions mAtA = new DirectSessions(mA);
    private final DirectSessions mAtB = new DirectSessions(mB);

    private static SharedMembership membership(String self, String peer) {
        MembershipConfig config = MembershipConfig.builder(self, 1).build();
        return new SharedMembership(config, List.of(peer), (b, reason, here) -> {});
    }

    private static Backend announced(Backend.State state, int number) {
        return new Backend(new BackendRef("w", 0), "s", "dc", "", "1.2.3.4:80", state, 6, number);
    }

    private void share() {
        mB.merge(NOW, "a", mA.shareSince(mB.cursorOf("a")));
        mA.merge(NOW, "b", mB.shareSince(mA.cursorOf("b")));
    }

    @Test
    void announcementsThatSayNothingNewAreNotPassedOn() {
        mAtA.hear(NOW, announced(Backend.State.SERVING, 1));
        MembershipCursor before = mA.shareSince(MembershipCursor.NONE).cursor();
        for (int number = 2; number < 50; number++) {
            mAtA.hear(NOW, announced(Backend.State.SERVING, number));
        }
        assertThat(mA.shareSince(before).announcements()).isEmpty();
    }

    @Test
    void aLateAnnouncementDoesNotTakeADrainBack() {
        // The server says at one instance that it drains. An earlier announcement, held up on its
        // way, reaches another instance only then. Routers that listen to the latter would send new
        // requests to a server that is about to exit.
        mAtA.hear(NOW, announced(Backend.State.SERVING, 4));
        share();
        mAtA.hear(NOW, announced(Backend.State.DRAINING, 6));
        share();
        mAtB.hear(NOW, announced(Backend.State.SERVING, 5));
        share();
        assertThat(mA.backend("w").state()).isEqualTo(Backend.State.DRAINING);
        assertThat(mB.backend("w").state()).isEqualTo(Backend.State.DRAINING);
    }

    @Test
    void aLateAnnouncementThatArrivesFirstIsOvertaken() {
        mAtA.hear(NOW, announced(Backend.State.SERVING, 4));
        share();
        mAtB.hear(NOW, announced(Backend.State.SERVING, 5));
        mAtA.hear(NOW, announced(Backend.State.DRAINING, 6));
        share();
        share();
        assertThat(mA.backend("w").state()).isEqualTo(Backend.State.DRAINING);
        assertThat(mB.backend("w").state()).isEqualTo(Backend.State.DRAINING);
    }

    @Test
    void oneThatLeftNeverComesBack() {
        mAtA.hear(NOW, announced(Backend.State.SERVING, 4));
        share();
        mAtA.withdraw(NOW, "w");
        share();
        mAtB.hear(NOW, announced(Backend.State.SERVING, 9));
        share();
        assertThat(mA.backend("w").state()).isEqualTo(Backend.State.LEFT);
        assertThat(mB.backend("w").state()).isEqualTo(Backend.State.LEFT);
    }

    @Test
    void anotherInstanceTakesOverAsSoonAsItIsAnnouncedTo() {
        mAtA.hear(NOW, announced(Backend.State.SERVING, 4));
        share();
        mAtB.hear(NOW, announced(Backend.State.SERVING, 5));
        share();
        assertThat(mB.hears(mB.backend("w"))).isTrue();
        assertThat(mA.hears(mA.backend("w"))).isFalse();
        assertThat(mA.backend("w").state()).isEqualTo(Backend.State.SERVING);
    }

    private static Backend at(String id, String address, int number) {
        return new Backend(
                new BackendRef(id, 0), "s", "dc", "", address, Backend.State.SERVING, 6, number);
    }

    @Test
    void aNewStartTakesTheAddressOver() {
        // A server crashes and starts again at its address under a new name. The old name would be
        // chosen until it is missed, and each request sent to it is refused by the new start.
        mAtA.hear(NOW, at("old", "1.2.3.4:80", 7));
        mAtA.hear(NOW, at("new", "1.2.3.4:80", 1));
        assertThat(mA.backend("old").state()).isEqualTo(Backend.State.LEFT);
        assertThat(mA.backend("new").state()).isEqualTo(Backend.State.SERVING);
        mAtA.hear(NOW, at("old", "1.2.3.4:80", 8));
        assertThat(mA.backend("old").state()).isEqualTo(Backend.State.LEFT);
        assertThat(mA.backend("new").state()).isEqualTo(Backend.State.SERVING);
    }
}
