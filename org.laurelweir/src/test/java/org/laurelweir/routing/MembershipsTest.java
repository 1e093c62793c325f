package org.laurelweir.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.DrainedDataCentres;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.MembershipDelta;
import org.laurelweir.membership.PlacementRules;
import org.laurelweir.placement.Candidate;

/**
 * Tests a router's view of the backend servers as it moves from one control instance to another.
 */
class MembershipsTest {
    private static final Instant NOW = Instant.EPOCH;

    private final Memberships mMemberships = new Memberships(b -> {});

    private static Backend backend(long incarnation, Backend.State state, int session) {
        BackendRef ref = new BackendRef("w", incarnation);
        return new Backend(ref, "s", "dc", "", "1.2.3.4:80", state, 6, session);
    }

    private void applyDelta(String control, boolean full, Backend b) {
        MembershipCursor cursor = new MembershipCursor(control, 1, 1);
        mMemberships.apply(NOW, new MembershipDelta(cursor, full, List.of(b)));
    }

    // Guards against requests to a departed server. A control instance that was cut off before the
    // departure still lists the server as serving.
    @Test
    void olderViewDoesNotRestoreADepartedServer() {
        applyDelta("a", true, backend(0, Backend.State.SERVING, 3));
        applyDelta("a", false, backend(0, Backend.State.LEFT, Integer.MAX_VALUE));
        applyDelta("cut off", true, backend(0, Backend.State.SERVING, 3));
        assertThat(mMemberships.backend("w")).isNull();
        assertThat(mMemberships.view("s").size()).isZero();
    }

    @Test
    void laterSessionOrIncarnationRestoresAServer() {
        applyDelta("a", true, backend(0, Backend.State.SERVING, 3));
        applyDelta("a", false, backend(0, Backend.State.LEFT, 3));
        applyDelta("b", true, backend(0, Backend.State.SERVING, 4));
        assertThat(mMemberships.backend("w")).isNotNull();
        applyDelta("b", false, backend(0, Backend.State.LEFT, Integer.MAX_VALUE));
        applyDelta("b", false, backend(7, Backend.State.SERVING, 1));
        assertThat(mMemberships.backend("w")).isNotNull();
    }

    // Guards against requests to a draining server. Restarted control does not name it, the router
    // removes it, and then an announcement from before the drain arrives.
    @Test
    void olderAnnouncementDoesNotRestoreADrainedMissingServer() {
        applyDelta("a", true, backend(0, Backend.State.DRAINING, 6));
        MembershipCursor afterRestart = new MembershipCursor("a", 2, 1);
        mMemberships.apply(NOW, new MembershipDelta(afterRestart, true, List.of()));
        mMemberships.onTick(NOW.plusSeconds(6));
        applyDelta("a", false, backend(0, Backend.State.SERVING, 5));
        assertThat(mMemberships.view("s").candidates()).noneMatch(c -> !c.draining());
    }

    @Test
    void missingServerReturnsWithItsOldAnnouncement() {
        applyDelta("a", true, backend(0, Backend.State.SERVING, 5));
        MembershipCursor afterRestart = new MembershipCursor("a", 2, 1);
        mMemberships.apply(NOW, new MembershipDelta(afterRestart, true, List.of()));
        mMemberships.onTick(NOW.plusSeconds(6));
        applyDelta("a", false, backend(0, Backend.State.SERVING, 5));
        assertThat(mMemberships.view("s").size()).isOne();
    }

    @Test
    void departuresExpire() {
        applyDelta("a", true, backend(0, Backend.State.SERVING, 3));
        applyDelta("a", false, backend(0, Backend.State.LEFT, 3));
        mMemberships.onTick(NOW.plus(Duration.ofMinutes(11)));
        applyDelta("b", true, backend(0, Backend.State.SERVING, 3));
        assertThat(mMemberships.backend("w")).isNotNull();
    }

    // Guards against a server that receives no requests any more. Control, just restarted, does not
    // name it for a moment and later names it again unchanged.
    @Test
    void suspendedServerThatIsNamedAgainServesAgain() {
        applyFullView(1, "v", "w", "x");
        applyFullView(2, "v", "x");
        mMemberships.onTick(NOW.plus(MissingBackends.SUSPEND_AFTER));
        assertThat(servingIds()).containsExactly("v", "x");
        applyFullView(3, "v", "w", "x");
        assertThat(servingIds()).containsExactly("v", "w", "x");
        mMemberships.onTick(NOW.plus(MissingBackends.REMOVE_AFTER));
        assertThat(servingIds()).containsExactly("v", "w", "x");
    }

    // Guards against the loss of most of a service. A control instance that few servers can reach
    // answers with these few only.
    @Test
    void noServerIsSuspendedWhereMostAreMissing() {
        applyFullView(1, "v", "w", "x");
        applyFullView(2, "v");
        mMemberships.onTick(NOW.plus(MissingBackends.SUSPEND_AFTER));
        assertThat(servingIds()).containsExactly("v", "w", "x");
    }

    /** Applies the full view of a control instance that has started {@code start} times. */
    private void applyFullView(int start, String... names) {
        List<Backend> backends =
                Stream.of(names)
                        .map(
                                n ->
                                        backend(0, Backend.State.SERVING, 3)
                                                .withRef(new BackendRef(n, 0)))
                        .toList();
        MembershipCursor cursor = new MembershipCursor("a", start, 1);
        mMemberships.apply(NOW, new MembershipDelta(cursor, true, backends));
    }

    private List<String> servingIds() {
        return mMemberships.view("s").candidates().stream()
                .filter(c -> !c.draining())
                .map(Candidate::id)
                .toList();
    }

    private void applyDrained(long position, String... names) {
        applyDrained(position, List.of(), names);
    }

    private void applyDrained(long position, List<String> slowStartServices, String... names) {
        DrainedDataCentres drained = new DrainedDataCentres(position, List.of(names));
        mMemberships.applyRules(NOW, new PlacementRules(drained, slowStartServices, List.of()));
    }

    private boolean takesRequests(String id) {
        Candidate c = mMemberships.view("s").candidate(id);
        return c != null && !c.draining();
    }

    // Guards against requests to a drained data centre, whichever of its backend servers joins or
    // announces itself again meanwhile.
    @Test
    void drainedDataCentreGetsNoRequests() {
        applyDelta("a", true, backend(0, Backend.State.SERVING, 3));
        assertThat(takesRequests("w")).isTrue();
        applyDrained(7, "dc");
        assertThat(takesRequests("w")).isFalse();
        applyDelta("a", false, backend(0, Backend.State.SERVING, 4));
        assertThat(takesRequests("w")).isFalse();
        applyDelta("a", false, backend(9, Backend.State.SERVING, 1));
        assertThat(takesRequests("w")).isFalse();
        applyDrained(8);
        assertThat(takesRequests("w")).isTrue();
    }

    // Guards against requests to a drained data centre after an exchange with a control instance
    // that was cut off before the order.
    @Test
    void olderSetOfDrainedDataCentresIsIgnored() {
        applyDelta("a", true, backend(0, Backend.State.SERVING, 3));
        applyDrained(7, "dc");
        applyDrained(5);
        assertThat(takesRequests("w")).isFalse();
    }

    // Guards against new requests to a backend server that leaves, once its data centre is
    // undrained.
    @Test
    void undrainedDataCentreKeepsItsDrainingServersDraining() {
        applyDrained(7, "dc");
        applyDelta("a", true, backend(0, Backend.State.DRAINING, 3));
        applyDrained(8);
        assertThat(takesRequests("w")).isFalse();
    }

    // Guards against a rush of requests to servers whose slow start began while their data centre
    // was drained and which have not announced that yet.
    @Test
    void serversOfAnUndrainedDataCentreCountAsInSlowStartForAWhile() {
        applyDelta("a", true, backend(0, Backend.State.SERVING, 3));
        assertThat(mMemberships.isInSlowStart("w", NOW)).isFalse();
        applyDrained(7, "dc");
        applyDrained(8);
        assertThat(mMemberships.isInSlowStart("w", NOW)).isFalse();
        applyDrained(9, List.of("s"), "dc");
        applyDrained(10, List.of("s"));
        assertThat(mMemberships.isInSlowStart("w", NOW)).isTrue();
        Instant later = NOW.plus(Memberships.UNDRAINED_SLOW_START);
        assertThat(mMemberships.isInSlowStart("w", later)).isFalse();
    }
}
