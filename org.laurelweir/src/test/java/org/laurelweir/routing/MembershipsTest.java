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
 * What a router believes of the backend servers as it goes from one control instance to another.
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

    // A server that had left came back with the view of an instance that was cut off before.
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

    // A server that drained came back with an announcement from before, once no view had named it.
    @Test
    void olderAnnouncementDoesNotRestoreADrainedMissingServer() {
        applyDelta("a", true, backend(0, Backend.State.DRAINING, 6));
        MembershipCursor startedAnew = new MembershipCursor("a", 2, 1);
        mMemberships.apply(NOW, new MembershipDelta(startedAnew, true, List.of()));
        mMemberships.onTick(NOW.plusSeconds(6));
        applyDelta("a", false, backend(0, Backend.State.SERVING, 5));
        assertThat(mMemberships.view("s").candidates()).noneMatch(c -> !c.draining());
    }

    @Test
    void missingServerReturnsWithItsOldAnnouncement() {
        applyDelta("a", true, backend(0, Backend.State.SERVING, 5));
        MembershipCursor startedAnew = new MembershipCursor("a", 2, 1);
        mMemberships.apply(NOW, new MembershipDelta(startedAnew, true, List.of()));
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

    // A server that control did not hear for a moment after its start got no work for good.
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

    // A control instance that hardly anybody reached took most of a service out of use.
    @Test
    void noServerIsSuspendedWhereMostAreMissing() {
        applyFullView(1, "v", "w", "x");
        applyFullView(2, "v");
        mMemberships.onTick(NOW.plus(MissingBackends.SUSPEND_AFTER));
        assertThat(servingIds()).containsExactly("v", "w", "x");
    }

    /** Tells the whole view of an instance that has been started so many times. */
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
