package org.laurelweir.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.MembershipDelta;

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

    private void tell(String control, boolean full, Backend b) {
        MembershipCursor cursor = new MembershipCursor(control, 1, 1);
        mMemberships.apply(NOW, new MembershipDelta(cursor, full, List.of(b)));
    }

    // A server that had left came back with the view of an instance that was cut off before.
    @Test
    void anOlderViewDoesNotBringBackWhoLeft() {
        tell("a", true, backend(0, Backend.State.SERVING, 3));
        tell("a", false, backend(0, Backend.State.LEFT, Integer.MAX_VALUE));
        tell("cut off", true, backend(0, Backend.State.SERVING, 3));
        assertThat(mMemberships.backend("w")).isNull();
        assertThat(mMemberships.view("s").size()).isZero();
    }

    @Test
    void aLaterSessionOrStartBringsOneBack() {
        tell("a", true, backend(0, Backend.State.SERVING, 3));
        tell("a", false, backend(0, Backend.State.LEFT, 3));
        tell("b", true, backend(0, Backend.State.SERVING, 4));
        assertThat(mMemberships.backend("w")).isNotNull();
        tell("b", false, backend(0, Backend.State.LEFT, Integer.MAX_VALUE));
        tell("b", false, backend(7, Backend.State.SERVING, 1));
        assertThat(mMemberships.backend("w")).isNotNull();
    }

    // A server that drained came back with an announcement from before, once no view had named it.
    @Test
    void anOlderWordDoesNotBringBackWhoDrainedAndIsNamedNoMore() {
        tell("a", true, backend(0, Backend.State.DRAINING, 6));
        MembershipCursor startedAnew = new MembershipCursor("a", 2, 1);
        mMemberships.apply(NOW, new MembershipDelta(startedAnew, true, List.of()));
        mMemberships.onTick(NOW.plusSeconds(6));
        tell("a", false, backend(0, Backend.State.SERVING, 5));
        assertThat(mMemberships.view("s").candidates()).noneMatch(c -> !c.draining());
    }

    @Test
    void oneThatServedAndWasNamedNoMoreComesBackWithItsWord() {
        tell("a", true, backend(0, Backend.State.SERVING, 5));
        MembershipCursor startedAnew = new MembershipCursor("a", 2, 1);
        mMemberships.apply(NOW, new MembershipDelta(startedAnew, true, List.of()));
        mMemberships.onTick(NOW.plusSeconds(6));
        tell("a", false, backend(0, Backend.State.SERVING, 5));
        assertThat(mMemberships.view("s").size()).isOne();
    }

    @Test
    void departuresAreForgottenInTheEnd() {
        tell("a", true, backend(0, Backend.State.SERVING, 3));
        tell("a", false, backend(0, Backend.State.LEFT, 3));
        mMemberships.onTick(NOW.plus(Duration.ofMinutes(11)));
        tell("b", true, backend(0, Backend.State.SERVING, 3));
        assertThat(mMemberships.backend("w")).isNotNull();
    }
}
