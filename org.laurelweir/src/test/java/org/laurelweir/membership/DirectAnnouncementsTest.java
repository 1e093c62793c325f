package org.laurelweir.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.laurelweir.lib.BackendRef;

/** Announcements of backend servers that have no sidecar. */
class DirectAnnouncementsTest {
    private static final Instant NOW = Instant.EPOCH;

    private final SharedMembership mA = membership("a", "b");
    private final SharedMembership mB = membership("b", "a");
    private final DirectAnnouncements mAtA = new DirectAnnouncements(mA, "s"::equals);
    private final DirectAnnouncements mAtB = new DirectAnnouncements(mB, "s"::equals);
    private int mNumber;

    private static SharedMembership membership(String self, String peer) {
        MembershipConfig config = MembershipConfig.builder(self, 1).build();
        return new SharedMembership(config, List.of(peer), (b, reason, here) -> {});
    }

    private static Backend announced(Backend.State state, int number) {
        return new Backend(new BackendRef("w", 0), "s", "dc", "", "1.2.3.4:80", state, 6, number);
    }

    private void share() {
        mB.merge(NOW, "a", mA.updateSince(mB.cursorOf("a")));
        mA.merge(NOW, "b", mB.updateSince(mA.cursorOf("b")));
    }

    @Test
    void announcementsThatSayNothingNewAreNotPassedOn() {
        mAtA.receive(NOW, announced(Backend.State.SERVING, 1));
        MembershipCursor before = mA.updateSince(MembershipCursor.NONE).cursor();
        for (int number = 2; number < 50; number++) {
            mAtA.receive(NOW, announced(Backend.State.SERVING, number));
        }
        assertThat(mA.updateSince(before).announcements()).isEmpty();
    }

    @Test
    void aLateAnnouncementDoesNotTakeADrainBack() {
        // The server says at one instance that it drains. An earlier announcement, held up on its
        // way, reaches another instance only then. Routers that listen to the latter would send new
        // requests to a server that is about to exit.
        mAtA.receive(NOW, announced(Backend.State.SERVING, 4));
        share();
        mAtA.receive(NOW, announced(Backend.State.DRAINING, 6));
        share();
        mAtB.receive(NOW, announced(Backend.State.SERVING, 5));
        share();
        assertThat(mA.backend("w").state()).isEqualTo(Backend.State.DRAINING);
        assertThat(mB.backend("w").state()).isEqualTo(Backend.State.DRAINING);
    }

    @Test
    void aLateAnnouncementThatArrivesFirstIsOvertaken() {
        mAtA.receive(NOW, announced(Backend.State.SERVING, 4));
        share();
        mAtB.receive(NOW, announced(Backend.State.SERVING, 5));
        mAtA.receive(NOW, announced(Backend.State.DRAINING, 6));
        share();
        share();
        assertThat(mA.backend("w").state()).isEqualTo(Backend.State.DRAINING);
        assertThat(mB.backend("w").state()).isEqualTo(Backend.State.DRAINING);
    }

    @Test
    void oneThatLeftNeverComesBack() {
        mAtA.receive(NOW, announced(Backend.State.SERVING, 4));
        share();
        mAtA.withdraw(NOW, new BackendRef("w", 0));
        share();
        mAtB.receive(NOW, announced(Backend.State.SERVING, 9));
        share();
        assertThat(mA.backend("w").state()).isEqualTo(Backend.State.LEFT);
        assertThat(mB.backend("w").state()).isEqualTo(Backend.State.LEFT);
    }

    @Test
    void anotherInstanceTakesOverAsSoonAsItIsAnnouncedTo() {
        mAtA.receive(NOW, announced(Backend.State.SERVING, 4));
        share();
        mAtB.receive(NOW, announced(Backend.State.SERVING, 5));
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
        mAtA.receive(NOW, at("old", "1.2.3.4:80", 7));
        mAtA.receive(NOW, at("new", "1.2.3.4:80", 1));
        assertThat(mA.backend("old").state()).isEqualTo(Backend.State.LEFT);
        assertThat(mA.backend("new").state()).isEqualTo(Backend.State.SERVING);
        mAtA.receive(NOW, at("old", "1.2.3.4:80", 8));
        assertThat(mA.backend("old").state()).isEqualTo(Backend.State.LEFT);
        assertThat(mA.backend("new").state()).isEqualTo(Backend.State.SERVING);
    }

    // A server's word that it leaves was acknowledged and dropped, so that routers went on using
    // it.
    @Test
    void aServerLeavesThroughAnInstanceThatKnewAnEarlierOneAtItsAddress() {
        mAtA.receive(NOW, at("old", "1.2.3.4:80", 7));
        mAtA.withdraw(NOW, new BackendRef("old", 0));
        mAtB.receive(NOW, at("w", "1.2.3.4:80", 1));
        share();
        mAtA.receive(NOW, announced(Backend.State.DRAINING, 2));
        share();
        assertThat(mA.backend("w").state()).isEqualTo(Backend.State.DRAINING);
        assertThat(mB.backend("w").state()).isEqualTo(Backend.State.DRAINING);
    }

    // A server that changed its instance was heard nowhere, and given up a minute later.
    @Test
    void aServerIsHeardByAnInstanceThatKnewAnEarlierOneAtItsAddress() {
        mAtA.receive(NOW, at("old", "1.2.3.4:80", 7));
        mAtA.withdraw(NOW, new BackendRef("old", 0));
        mAtB.receive(NOW, at("w", "1.2.3.4:80", 1));
        share();
        mAtA.receive(NOW, at("w", "1.2.3.4:80", 2));
        assertThat(mA.hears(mA.backend("w"))).isTrue();
    }

    // A server's word that it leaves was dropped while an earlier one at its address was not
    // missed.
    @Test
    void aServerLeavesWhileAnEarlierOneAtItsAddressIsNotMissedYet() {
        mAtA.receive(NOW, at("old", "1.2.3.4:80", 7));
        mAtB.receive(NOW, at("w", "1.2.3.4:80", 1));
        share();
        mAtA.receive(NOW, announced(Backend.State.DRAINING, 2));
        share();
        assertThat(mB.backend("w").state()).isEqualTo(Backend.State.DRAINING);
    }

    @Test
    void oneThatLeavesPushesNobodyOutOfItsAddress() {
        mAtA.receive(NOW, at("w", "1.2.3.4:80", 1));
        mAtB.receive(NOW, at("new", "1.2.3.4:80", 1));
        share();
        mAtB.receive(NOW, announced(Backend.State.DRAINING, 2));
        share();
        assertThat(mA.backend("w").state()).isEqualTo(Backend.State.DRAINING);
        assertThat(mA.backend("new").state()).isEqualTo(Backend.State.SERVING);
    }

    // An instance that had just started acknowledged a departure that it could not pass on.
    @Test
    void aDepartureOfAnUnknownServerIsNotTaken() {
        mAtB.receive(NOW, at("w", "1.2.3.4:80", 1));
        assertThat(mAtA.withdraw(NOW, new BackendRef("w", 0)))
                .isEqualTo(DirectAnnouncements.Outcome.UNKNOWN_SERVER);
        assertThat(mAtB.withdraw(NOW, new BackendRef("w", 0)))
                .isEqualTo(DirectAnnouncements.Outcome.TAKEN);
    }

    // The departure of a start that had been announced to another instance only was dropped.
    @Test
    void aDepartureOfALaterStartThanIsKnownIsTaken() {
        mAtA.receive(NOW, started(1000, Backend.State.SERVING, 40));
        mAtB.receive(NOW, started(9000, Backend.State.SERVING, 1));
        assertThat(mAtA.withdraw(NOW, new BackendRef("w", 9000)))
                .isEqualTo(DirectAnnouncements.Outcome.TAKEN);
        assertEverywhere(9000, Backend.State.LEFT);
    }

    // An instance whose settings lag dropped the departure of a server that the others send to.
    @Test
    void aServerLeavesThroughAnInstanceThatHasNoSettingsOfItsServiceYet() {
        DirectAnnouncements lagging = new DirectAnnouncements(mB, s -> false);
        mAtA.receive(NOW, announced(Backend.State.SERVING, 1));
        share();
        lagging.receive(NOW, announced(Backend.State.DRAINING, 2));
        share();
        assertThat(mA.backend("w").state()).isEqualTo(Backend.State.DRAINING);
    }

    // Another writer's announcement under a server's name must not take that server out of use.
    @Test
    void aKnownNameWithAServiceThatNobodyHasChangesNothing() {
        mAtA.receive(NOW, announced(Backend.State.SERVING, 1));
        Backend other =
                startedAt("w", 0, "unheard-of", "1.2.3.4:80")
                        .withState(Backend.State.DRAINING)
                        .withSession(2);
        assertThat(mAtA.receive(NOW, other)).isEqualTo(DirectAnnouncements.Outcome.UNKNOWN_SERVICE);
        assertThat(mA.backend("w").state()).isEqualTo(Backend.State.SERVING);
    }

    // After a partition a server that others had given up stayed out of use for seconds.
    @Test
    void aServerThatOthersGaveUpComesBackWithItsNextAnnouncement() {
        mAtA.receive(NOW, announced(Backend.State.SERVING, 1));
        share();
        Backend gone = mB.backend("w").withState(Backend.State.LEFT);
        mA.mergeAnnouncements(NOW, List.of(new Announcement(gone, "b")));
        mB.mergeAnnouncements(NOW, List.of(new Announcement(gone, "b")));
        mAtA.receive(NOW, announced(Backend.State.SERVING, 2));
        share();
        assertThat(mA.backend("w").state()).isEqualTo(Backend.State.SERVING);
        assertThat(mB.backend("w").state()).isEqualTo(Backend.State.SERVING);
    }

    private static Backend started(long start, Backend.State state, int number) {
        return new Backend(
                new BackendRef("w", start), "s", "dc", "", "1.2.3.4:80", state, 6, number);
    }

    private void assertEverywhere(long start, Backend.State state) {
        share();
        share();
        for (SharedMembership m : List.of(mA, mB)) {
            assertThat(m.backend("w").ref().incarnation()).isEqualTo(start);
            assertThat(m.backend("w").state()).isEqualTo(state);
        }
    }

    @Test
    void oneThatStartsAgainUnderItsNameIsAnotherRun() {
        // A server crashes and starts again under its name, so that its numbers begin anew. Passed
        // over as late, it would be missed, taken for gone and get no request for ever.
        mAtA.receive(NOW, started(1000, Backend.State.SERVING, 40));
        mAtA.receive(NOW, started(9000, Backend.State.SERVING, 1));
        assertEverywhere(9000, Backend.State.SERVING);
        mAtB.receive(NOW, started(9000, Backend.State.DRAINING, 2));
        assertEverywhere(9000, Backend.State.DRAINING);
    }

    @Test
    void aRunBeforeTakesNothingBackHoweverLateItsWordComes() {
        // The server announces its new start on one side of a cut. Words of the run before wait on
        // the other side: that it serves, that it drains, that it leaves. Once the cut heals, none
        // of them may stand before the new start.
        mAtA.receive(NOW, started(1000, Backend.State.SERVING, 40));
        share();
        mAtA.receive(NOW, started(9000, Backend.State.SERVING, 1));
        mAtB.receive(NOW, started(1000, Backend.State.DRAINING, 41));
        mAtB.withdraw(NOW, new BackendRef("w", 1000));
        assertEverywhere(9000, Backend.State.SERVING);
        mAtB.withdraw(NOW, new BackendRef("w", 1000));
        mAtB.receive(NOW, started(1000, Backend.State.SERVING, 42));
        assertEverywhere(9000, Backend.State.SERVING);
    }

    @Test
    void oneThatLeftComesBackWithALaterStart() {
        mAtA.receive(NOW, started(1000, Backend.State.SERVING, 4));
        mAtA.withdraw(NOW, new BackendRef("w", 1000));
        assertEverywhere(1000, Backend.State.LEFT);
        assertThat(mAtB.receive(NOW, started(1000, Backend.State.SERVING, 9)))
                .isEqualTo(DirectAnnouncements.Outcome.OVERTAKEN);
        mAtB.receive(NOW, started(2000, Backend.State.SERVING, 1));
        assertEverywhere(2000, Backend.State.SERVING);
    }

    private static Backend startedAt(String id, long start, String service, String address) {
        return new Backend(
                new BackendRef(id, start), service, "dc", "", address, Backend.State.SERVING, 6, 1);
    }

    @Test
    void theLaterStartIsAtAnAddress() {
        mAtA.receive(NOW, startedAt("old", 1000, "s", "1.2.3.4:80"));
        mAtA.receive(NOW, startedAt("new", 5000, "s", "1.2.3.4:80"));
        assertThat(mA.backend("old").state()).isEqualTo(Backend.State.LEFT);
        assertThat(mAtA.receive(NOW, startedAt("older", 900, "s", "1.2.3.4:80")))
                .isEqualTo(DirectAnnouncements.Outcome.ADDRESS_TAKEN);
        assertThat(mA.backend("new").state()).isEqualTo(Backend.State.SERVING);
    }

    @Test
    void anotherWritersAnnouncementPushesNobodyOut() {
        // Something announces a service that the settings don't have, or tells no start, at the
        // address of a server that serves. Believed, it would push that server out, and callers
        // would be refused for want of it.
        mAtA.receive(NOW, startedAt("w", 1000, "s", "1.2.3.4:80"));
        assertThat(mAtA.receive(NOW, startedAt("x", 9000, "unheard-of", "1.2.3.4:80")))
                .isEqualTo(DirectAnnouncements.Outcome.UNKNOWN_SERVICE);
        assertThat(mAtA.receive(NOW, startedAt("x", 0, "s", "1.2.3.4:80")))
                .isEqualTo(DirectAnnouncements.Outcome.START_MISSING);
        assertThat(mA.backend("w").state()).isEqualTo(Backend.State.SERVING);
        assertThat(mA.knows("x")).isFalse();
    }

    private Instant pass(Instant start, int seconds) {
        for (int i = 1; i <= 2 * seconds; i++) {
            for (int other = 0; other < 10; other++) {
                mAtA.receive(start, at("other" + other, "1.2.4." + other + ":80", ++mNumber));
            }
            mA.tick(start.plusMillis(500L * i));
        }
        return start.plusSeconds(seconds);
    }

    private Instant flapAtA(Instant start) {
        Instant now = start;
        for (int i = 0; i < 4; i++) {
            mAtA.receive(now, announced(Backend.State.SERVING, ++mNumber));
            now = pass(now, 4);
        }
        return now;
    }

    // The word that a server leaves was acknowledged and dropped while the server was held back.
    @Test
    void aServerThatIsHeldBackLeavesThoughAnotherInstanceHasHeardIt() {
        Instant now = flapAtA(NOW);
        mAtB.receive(now, announced(Backend.State.SERVING, ++mNumber));
        mAtA.receive(now, announced(Backend.State.DRAINING, ++mNumber));
        share();
        assertThat(mA.backend("w").state()).isEqualTo(Backend.State.DRAINING);
        assertThat(mB.backend("w").state()).isEqualTo(Backend.State.DRAINING);
    }

    // The word that a server held back leaves was dropped with the hold.
    @Test
    void aServerThatIsHeldBackAlreadyLeavesThoughAnotherInstanceHasHeardIt() {
        Instant now = flapAtA(NOW);
        mAtA.receive(now, announced(Backend.State.SERVING, ++mNumber));
        mAtB.receive(now, announced(Backend.State.SERVING, ++mNumber));
        mAtA.withdraw(now, new BackendRef("w", 0));
        share();
        assertThat(mA.backend("w").state()).isEqualTo(Backend.State.LEFT);
        assertThat(mB.backend("w").state()).isEqualTo(Backend.State.LEFT);
    }
}
