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

    // A server that control did not hear for a moment after its start got no work for good.
    @Test
    void oneThatIsNamedAgainAsItWasGetsWorkAgain() {
        tellAnew(1, "v", "w", "x");
        tellAnew(2, "v", "x");
        mMemberships.onTick(NOW.plus(MissingBackends.UNHEARD_AFTER));
        assertThat(serving()).containsExactly("v", "x");
        tellAnew(3, "v", "w", "x");
        assertThat(serving()).containsExactly("v", "w", "x");
        mMemberships.onTick(NOW.plus(MissingBackends.DROPPED_AFTER));
        assertThat(serving()).containsExactly("v", "w", "x");
    }

    // A control instance that hardly anybody reached took most of a service out of use.
    @Test
    void allGoOnWhereControlHearsFewOfThem() {
        tellAnew(1, "v", "w", "x");
        tellAnew(2, "v");
        mMemberships.onTick(NOW.plus(MissingBackends.UNHEARD_AFTER));
        assertThat(serving()).containsExactly("v", "w", "x");
    }

    /** Tells the whole view of an instance that has been started so many times. */
    private void tellAnew(int start, String... names) {
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

    private List<String> serving() {
        return mMemberships.view("s").candidates().stream()
                .filter(c -> !c.draining())
                .map(Candidate::id)
                .toList();
    }
}
