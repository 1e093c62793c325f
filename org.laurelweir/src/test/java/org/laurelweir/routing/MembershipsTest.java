package org.laurelweir.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.MembershipDelta;
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
}
