package org.laurelweir.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.laurelweir.lib.BackendRef;

/** Announcements of backend servers that have no sidecar, to two control instances A and B. */
class DirectAnnouncementsTest {
    private static final Instant NOW = Instant.EPOCH;

    private final SharedMembership mMembershipA = membership("a", "b");
    private final SharedMembership mMembershipB = membership("b", "a");
    private final DirectAnnouncements mDirectA = new DirectAnnouncements(mMembershipA, "s"::equals);
    private final DirectAnnouncements mDirectB = new DirectAnnouncements(mMembershipB, "s"::equals);
    private int mLastNumber;

    private static SharedMembership membership(String self, String peer) {
        MembershipConfig config = MembershipConfig.builder(self, 1).build();
        return new SharedMembership(config, List.of(peer), (b, reason, isOwn) -> {});
    }

    private static Backend announcement(Backend.State state, int number) {
        return new Backend(new BackendRef("w", 0), "s", "dc", "", "1.2.3.4:80", state, 6, number);
    }

    private void exchangeUpdates() {
        mMembershipB.merge(NOW, "a", mMembershipA.updateSince(mMembershipB.cursorOf("a")));
        mMembershipA.merge(NOW, "b", mMembershipB.updateSince(mMembershipA.cursorOf("b")));
    }

    @Test
    void unchangedAnnouncementsAreNotSentToPeers() {
        mDirectA.receive(NOW, announcement(Backend.State.SERVING, 1));
        MembershipCursor before = mMembershipA.updateSince(MembershipCursor.NONE).cursor();
        for (int number = 2; number < 50; number++) {
            mDirectA.receive(NOW, announcement(Backend.State.SERVING, number));
        }
        assertThat(mMembershipA.updateSince(before).announcements()).isEmpty();
    }

    @Test
    void lateAnnouncementDoesNotRevertDrain() {
        // The server announces to one instance that it drains. Then a delayed earlier announcement
        // arrives at another instance. If it were accepted, routers would send new requests to a
        // server that is about to exit.
        mDirectA.receive(NOW, announcement(Backend.State.SERVING, 4));
        exchangeUpdates();
        mDirectA.receive(NOW, announcement(Backend.State.DRAINING, 6));
        exchangeUpdates();
        mDirectB.receive(NOW, announcement(Backend.State.SERVING, 5));
        exchangeUpdates();
        assertThat(mMembershipA.backend("w").state()).isEqualTo(Backend.State.DRAINING);
        assertThat(mMembershipB.backend("w").state()).isEqualTo(Backend.State.DRAINING);
    }

    @Test
    void drainSupersedesEarlierAnnouncementAtAnotherInstance() {
        mDirectA.receive(NOW, announcement(Backend.State.SERVING, 4));
        exchangeUpdates();
        mDirectB.receive(NOW, announcement(Backend.State.SERVING, 5));
        mDirectA.receive(NOW, announcement(Backend.State.DRAINING, 6));
        exchangeUpdates();
        exchangeUpdates();
        assertThat(mMembershipA.backend("w").state()).isEqualTo(Backend.State.DRAINING);
        assertThat(mMembershipB.backend("w").state()).isEqualTo(Backend.State.DRAINING);
    }

    @Test
    void departedServerDoesNotReturnWithoutNewStart() {
        mDirectA.receive(NOW, announcement(Backend.State.SERVING, 4));
        exchangeUpdates();
        mDirectA.withdraw(NOW, new BackendRef("w", 0));
        exchangeUpdates();
        mDirectB.receive(NOW, announcement(Backend.State.SERVING, 9));
        exchangeUpdates();
        assertThat(mMembershipA.backend("w").state()).isEqualTo(Backend.State.LEFT);
        assertThat(mMembershipB.backend("w").state()).isEqualTo(Backend.State.LEFT);
    }

    @Test
    void instanceThatReceivesAnAnnouncementTakesOverTheSession() {
        mDirectA.receive(NOW, announcement(Backend.State.SERVING, 4));
        exchangeUpdates();
        mDirectB.receive(NOW, announcement(Backend.State.SERVING, 5));
        exchangeUpdates();
        assertThat(mMembershipB.hasSession(mMembershipB.backend("w"))).isTrue();
        assertThat(mMembershipA.hasSession(mMembershipA.backend("w"))).isFalse();
        assertThat(mMembershipA.backend("w").state()).isEqualTo(Backend.State.SERVING);
    }

    private static Backend announcementAt(String id, String address, int number) {
        return new Backend(
                new BackendRef(id, 0), "s", "dc", "", address, Backend.State.SERVING, 6, number);
    }

    @Test
    void newServerTakesOverTheAddress() {
        // A server crashes and restarts at its address under a new name. If the old name stayed in
        // the membership until it times out, routers would send it requests, which the new server
        // refuses.
        mDirectA.receive(NOW, announcementAt("old", "1.2.3.4:80", 7));
        mDirectA.receive(NOW, announcementAt("new", "1.2.3.4:80", 1));
        assertThat(mMembershipA.backend("old").state()).isEqualTo(Backend.State.LEFT);
        assertThat(mMembershipA.backend("new").state()).isEqualTo(Backend.State.SERVING);
        mDirectA.receive(NOW, announcementAt("old", "1.2.3.4:80", 8));
        assertThat(mMembershipA.backend("old").state()).isEqualTo(Backend.State.LEFT);
        assertThat(mMembershipA.backend("new").state()).isEqualTo(Backend.State.SERVING);
    }

    // Guards against routers that take a server for one of the version that it had before.
    @Test
    void changedVersionReachesTheOtherInstances() {
        mDirectA.receive(NOW, announcement(Backend.State.SERVING, 4).withVersion("v1"));
        exchangeUpdates();
        mDirectA.receive(NOW, announcement(Backend.State.SERVING, 5).withVersion("v2"));
        exchangeUpdates();
        assertThat(mMembershipA.backend("w").version()).isEqualTo("v2");
        assertThat(mMembershipB.backend("w").version()).isEqualTo("v2");
    }

    // Guards against an instance that acknowledges a departure and drops it because it knows an
    // earlier server at the address. Routers would continue to send requests to the server.
    @Test
    void instanceThatKnowsPredecessorAtTheAddressAcceptsDrain() {
        mDirectA.receive(NOW, announcementAt("old", "1.2.3.4:80", 7));
        mDirectA.withdraw(NOW, new BackendRef("old", 0));
        mDirectB.receive(NOW, announcementAt("w", "1.2.3.4:80", 1));
        exchangeUpdates();
        mDirectA.receive(NOW, announcement(Backend.State.DRAINING, 2));
        exchangeUpdates();
        assertThat(mMembershipA.backend("w").state()).isEqualTo(Backend.State.DRAINING);
        assertThat(mMembershipB.backend("w").state()).isEqualTo(Backend.State.DRAINING);
    }

    // Guards against a server that changes its control instance and is accepted by neither: it
    // would be removed a minute later.
    @Test
    void instanceThatKnowsPredecessorAtTheAddressAcceptsAnnouncement() {
        mDirectA.receive(NOW, announcementAt("old", "1.2.3.4:80", 7));
        mDirectA.withdraw(NOW, new BackendRef("old", 0));
        mDirectB.receive(NOW, announcementAt("w", "1.2.3.4:80", 1));
        exchangeUpdates();
        mDirectA.receive(NOW, announcementAt("w", "1.2.3.4:80", 2));
        assertThat(mMembershipA.hasSession(mMembershipA.backend("w"))).isTrue();
    }

    // Guards against an instance that drops a departure while an earlier server at the address has
    // not timed out.
    @Test
    void drainIsAcceptedBeforePredecessorAtTheAddressTimesOut() {
        mDirectA.receive(NOW, announcementAt("old", "1.2.3.4:80", 7));
        mDirectB.receive(NOW, announcementAt("w", "1.2.3.4:80", 1));
        exchangeUpdates();
        mDirectA.receive(NOW, announcement(Backend.State.DRAINING, 2));
        exchangeUpdates();
        assertThat(mMembershipB.backend("w").state()).isEqualTo(Backend.State.DRAINING);
    }

    @Test
    void drainingServerDoesNotRemoveItsSuccessorAtTheAddress() {
        mDirectA.receive(NOW, announcementAt("w", "1.2.3.4:80", 1));
        mDirectB.receive(NOW, announcementAt("new", "1.2.3.4:80", 1));
        exchangeUpdates();
        mDirectB.receive(NOW, announcement(Backend.State.DRAINING, 2));
        exchangeUpdates();
        assertThat(mMembershipA.backend("w").state()).isEqualTo(Backend.State.DRAINING);
        assertThat(mMembershipA.backend("new").state()).isEqualTo(Backend.State.SERVING);
    }

    // Guards against an instance that acknowledges a departure which it can't forward, as it has
    // just started and does not know the server.
    @Test
    void withdrawalOfUnknownServerIsRejected() {
        mDirectB.receive(NOW, announcementAt("w", "1.2.3.4:80", 1));
        assertThat(mDirectA.withdraw(NOW, new BackendRef("w", 0)))
                .isEqualTo(DirectAnnouncements.Outcome.UNKNOWN_SERVER);
        assertThat(mDirectB.withdraw(NOW, new BackendRef("w", 0)))
                .isEqualTo(DirectAnnouncements.Outcome.TAKEN);
    }

    // Guards against an instance that drops the departure of a start which was announced only to
    // another instance.
    @Test
    void withdrawalOfLaterStartThanKnownIsAccepted() {
        mDirectA.receive(NOW, announcementOfStart(1000, Backend.State.SERVING, 40));
        mDirectB.receive(NOW, announcementOfStart(9000, Backend.State.SERVING, 1));
        assertThat(mDirectA.withdraw(NOW, new BackendRef("w", 9000)))
                .isEqualTo(DirectAnnouncements.Outcome.TAKEN);
        assertOnAllInstances(9000, Backend.State.LEFT);
    }

    // Guards against an instance with outdated settings that drops the departure of a server which
    // other instances know.
    @Test
    void instanceWithoutSettingsOfTheServiceAcceptsDrain() {
        DirectAnnouncements directWithoutSettings =
                new DirectAnnouncements(mMembershipB, s -> false);
        mDirectA.receive(NOW, announcement(Backend.State.SERVING, 1));
        exchangeUpdates();
        directWithoutSettings.receive(NOW, announcement(Backend.State.DRAINING, 2));
        exchangeUpdates();
        assertThat(mMembershipA.backend("w").state()).isEqualTo(Backend.State.DRAINING);
    }

    // Guards against a server that is drained by another program's announcement under its name.
    @Test
    void knownServerWithUnknownServiceIsRejected() {
        mDirectA.receive(NOW, announcement(Backend.State.SERVING, 1));
        Backend other =
                announcementOfStartAt("w", 0, "unheard-of", "1.2.3.4:80")
                        .withState(Backend.State.DRAINING)
                        .withSession(2);
        assertThat(mDirectA.receive(NOW, other))
                .isEqualTo(DirectAnnouncements.Outcome.UNKNOWN_SERVICE);
        assertThat(mMembershipA.backend("w").state()).isEqualTo(Backend.State.SERVING);
    }

    // Guards against a server that peers removed during a partition and that gets no requests for
    // seconds after the partition has healed.
    @Test
    void serverDeclaredLostByPeersReturnsWithItsNextAnnouncement() {
        mDirectA.receive(NOW, announcement(Backend.State.SERVING, 1));
        exchangeUpdates();
        Backend departed = mMembershipB.backend("w").withState(Backend.State.LEFT);
        mMembershipA.mergeAnnouncements(NOW, List.of(new Announcement(departed, "b")));
        mMembershipB.mergeAnnouncements(NOW, List.of(new Announcement(departed, "b")));
        mDirectA.receive(NOW, announcement(Backend.State.SERVING, 2));
        exchangeUpdates();
        assertThat(mMembershipA.backend("w").state()).isEqualTo(Backend.State.SERVING);
        assertThat(mMembershipB.backend("w").state()).isEqualTo(Backend.State.SERVING);
    }

    private static Backend announcementOfStart(long start, Backend.State state, int number) {
        return new Backend(
                new BackendRef("w", start), "s", "dc", "", "1.2.3.4:80", state, 6, number);
    }

    private void assertOnAllInstances(long start, Backend.State state) {
        exchangeUpdates();
        exchangeUpdates();
        for (SharedMembership m : List.of(mMembershipA, mMembershipB)) {
            assertThat(m.backend("w").ref().incarnation()).isEqualTo(start);
            assertThat(m.backend("w").state()).isEqualTo(state);
        }
    }

    @Test
    void restartUnderTheSameNameIsANewIncarnation() {
        // A server crashes and restarts under its name, so that its announcement numbers start at 1
        // again. If these were rejected as late, the server would time out and never get a request.
        mDirectA.receive(NOW, announcementOfStart(1000, Backend.State.SERVING, 40));
        mDirectA.receive(NOW, announcementOfStart(9000, Backend.State.SERVING, 1));
        assertOnAllInstances(9000, Backend.State.SERVING);
        mDirectB.receive(NOW, announcementOfStart(9000, Backend.State.DRAINING, 2));
        assertOnAllInstances(9000, Backend.State.DRAINING);
    }

    @Test
    void lateMessagesOfPreviousIncarnationAreIgnored() {
        // The server announces its new start on one side of a partition. Delayed messages of the
        // previous incarnation arrive on the other side: that it serves, drains and leaves. After
        // the partition has healed, none of them may supersede the new start.
        mDirectA.receive(NOW, announcementOfStart(1000, Backend.State.SERVING, 40));
        exchangeUpdates();
        mDirectA.receive(NOW, announcementOfStart(9000, Backend.State.SERVING, 1));
        mDirectB.receive(NOW, announcementOfStart(1000, Backend.State.DRAINING, 41));
        mDirectB.withdraw(NOW, new BackendRef("w", 1000));
        assertOnAllInstances(9000, Backend.State.SERVING);
        mDirectB.withdraw(NOW, new BackendRef("w", 1000));
        mDirectB.receive(NOW, announcementOfStart(1000, Backend.State.SERVING, 42));
        assertOnAllInstances(9000, Backend.State.SERVING);
    }

    @Test
    void departedServerReturnsWithLaterStart() {
        mDirectA.receive(NOW, announcementOfStart(1000, Backend.State.SERVING, 4));
        mDirectA.withdraw(NOW, new BackendRef("w", 1000));
        assertOnAllInstances(1000, Backend.State.LEFT);
        assertThat(mDirectB.receive(NOW, announcementOfStart(1000, Backend.State.SERVING, 9)))
                .isEqualTo(DirectAnnouncements.Outcome.OVERTAKEN);
        mDirectB.receive(NOW, announcementOfStart(2000, Backend.State.SERVING, 1));
        assertOnAllInstances(2000, Backend.State.SERVING);
    }

    private static Backend announcementOfStartAt(
            String id, long start, String service, String address) {
        return new Backend(
                new BackendRef(id, start), service, "dc", "", address, Backend.State.SERVING, 6, 1);
    }

    @Test
    void laterStartWinsTheAddress() {
        mDirectA.receive(NOW, announcementOfStartAt("old", 1000, "s", "1.2.3.4:80"));
        mDirectA.receive(NOW, announcementOfStartAt("new", 5000, "s", "1.2.3.4:80"));
        assertThat(mMembershipA.backend("old").state()).isEqualTo(Backend.State.LEFT);
        assertThat(mDirectA.receive(NOW, announcementOfStartAt("older", 900, "s", "1.2.3.4:80")))
                .isEqualTo(DirectAnnouncements.Outcome.ADDRESS_TAKEN);
        assertThat(mMembershipA.backend("new").state()).isEqualTo(Backend.State.SERVING);
    }

    @Test
    void announcementOfAnotherProgramRemovesNoServer() {
        // Another program announces a service that is not in the settings, or no start time, at the
        // address of a serving server. If it were accepted, that server would be removed, and
        // requests would be rejected because there is no backend server.
        mDirectA.receive(NOW, announcementOfStartAt("w", 1000, "s", "1.2.3.4:80"));
        assertThat(
                        mDirectA.receive(
                                NOW, announcementOfStartAt("x", 9000, "unheard-of", "1.2.3.4:80")))
                .isEqualTo(DirectAnnouncements.Outcome.UNKNOWN_SERVICE);
        assertThat(mDirectA.receive(NOW, announcementOfStartAt("x", 0, "s", "1.2.3.4:80")))
                .isEqualTo(DirectAnnouncements.Outcome.START_MISSING);
        assertThat(mMembershipA.backend("w").state()).isEqualTo(Backend.State.SERVING);
        assertThat(mMembershipA.knows("x")).isFalse();
    }

    /**
     * Advances the time of instance A, while ten other servers continue to announce themselves. A
     * server can be held back only if it is a small share of its service's servers.
     */
    private Instant advanceTime(Instant start, int seconds) {
        for (int i = 1; i <= 2 * seconds; i++) {
            for (int other = 0; other < 10; other++) {
                mDirectA.receive(
                        start,
                        announcementAt("other" + other, "1.2.4." + other + ":80", ++mLastNumber));
            }
            mMembershipA.tick(start.plusMillis(500L * i));
        }
        return start.plusSeconds(seconds);
    }

    private Instant flapAtInstanceA(Instant start) {
        Instant now = start;
        for (int i = 0; i < 4; i++) {
            mDirectA.receive(now, announcement(Backend.State.SERVING, ++mLastNumber));
            now = advanceTime(now, 4);
        }
        return now;
    }

    // Guards against an instance that acknowledges a departure and drops it because it holds the
    // flapping server back.
    @Test
    void drainOfFlappingServerIsAcceptedAfterAnnouncementAtAnotherInstance() {
        Instant now = flapAtInstanceA(NOW);
        mDirectB.receive(now, announcement(Backend.State.SERVING, ++mLastNumber));
        mDirectA.receive(now, announcement(Backend.State.DRAINING, ++mLastNumber));
        exchangeUpdates();
        assertThat(mMembershipA.backend("w").state()).isEqualTo(Backend.State.DRAINING);
        assertThat(mMembershipB.backend("w").state()).isEqualTo(Backend.State.DRAINING);
    }

    // Guards against an instance that drops the departure of a held server together with the hold.
    @Test
    void withdrawalOfHeldServerIsAcceptedAfterAnnouncementAtAnotherInstance() {
        Instant now = flapAtInstanceA(NOW);
        mDirectA.receive(now, announcement(Backend.State.SERVING, ++mLastNumber));
        mDirectB.receive(now, announcement(Backend.State.SERVING, ++mLastNumber));
        mDirectA.withdraw(now, new BackendRef("w", 0));
        exchangeUpdates();
        assertThat(mMembershipA.backend("w").state()).isEqualTo(Backend.State.LEFT);
        assertThat(mMembershipB.backend("w").state()).isEqualTo(Backend.State.LEFT);
    }

    // Guards against routers that learn of a slow start only when something else changes, because
    // an unchanged announcement is not passed on.
    @Test
    void beginAndEndOfASlowStartReachThePeer() {
        mDirectA.receive(NOW, announcement(Backend.State.SERVING, 1));
        exchangeUpdates();
        mDirectA.receive(NOW, announcement(Backend.State.SERVING, 2).withSlowStart(true));
        exchangeUpdates();
        assertThat(mMembershipB.backend("w").slowStart()).isTrue();
        mDirectB.receive(NOW, announcement(Backend.State.SERVING, 3));
        exchangeUpdates();
        assertThat(mMembershipA.backend("w").slowStart()).isFalse();
    }

    /** Guards against a late announcement that an instance took before it knew the log. */
    @Test
    void departureOfTheLogEndsAnAnnouncementTakenBefore() {
        mDirectA.receive(NOW, announcement(Backend.State.SERVING, 5));
        exchangeUpdates();
        Departure departure =
                new Departure(
                        new BackendRef("w", 0), Backend.State.LEFT, Departure.FINAL_SESSION, NOW);
        mDirectA.onDeparture(NOW, departure);
        mDirectB.onDeparture(NOW, departure);
        exchangeUpdates();
        assertThat(mMembershipA.backend("w").state()).isEqualTo(Backend.State.LEFT);
        assertThat(mMembershipB.backend("w").state()).isEqualTo(Backend.State.LEFT);
    }

    /** Guards against a peer that spreads a late announcement which the log has outdated. */
    @Test
    void outdatedAnnouncementOfAPeerIsNotMerged() {
        SharedMembership informed =
                new SharedMembership(
                        MembershipConfig.builder("c", 1).build(),
                        List.of("a"),
                        (b, reason, isOwn) -> {},
                        b -> b.session() < 6);
        mDirectA.receive(NOW, announcement(Backend.State.SERVING, 5));
        informed.merge(NOW, "a", mMembershipA.updateSince(MembershipCursor.NONE));
        assertThat(informed.backend("w")).isNull();
        mDirectA.receive(NOW, announcement(Backend.State.DRAINING, 6));
        informed.merge(NOW, "a", mMembershipA.updateSince(MembershipCursor.NONE));
        assertThat(informed.backend("w").state()).isEqualTo(Backend.State.DRAINING);
    }
}
