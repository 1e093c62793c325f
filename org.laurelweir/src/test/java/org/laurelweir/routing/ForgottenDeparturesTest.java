package org.laurelweir.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.DirectAnnouncements;
import org.laurelweir.membership.MembershipConfig;
import org.laurelweir.membership.SharedMembership;
import org.laurelweir.placement.Candidate;

/**
 * Where a router sends work after control, started anew as a whole, has forgotten who leaves. One
 * instance stands for all of control; the server that leaves says so once.
 */
class ForgottenDeparturesTest {
    private static final Duration STEP = Duration.ofMillis(100);
    private static final Duration ANNOUNCING = Duration.ofMillis(1200);
    private static final Duration EXCHANGING = Duration.ofMillis(300);
    private static final Duration WARM_UP = Duration.ofSeconds(6);
    private static final Duration DOWN = Duration.ofSeconds(1);

    /** This long after the last fault the bounds on departures hold again. */
    private static final Duration CALM_AFTER = Duration.ofSeconds(3);

    private static final int SERVERS = 12;
    private static final BackendRef LEAVING = new BackendRef("w0", 0);
    private static final List<String> STAYING =
            IntStream.range(1, SERVERS).mapToObj(i -> "w" + i).sorted().toList();

    private final Memberships mRouter = new Memberships(b -> {});
    private SharedMembership mView;
    private DirectAnnouncements mControl;
    private boolean mIsControlUp;
    private boolean mHasLeft;
    private Instant mNow = Instant.EPOCH;
    private int mNumber;
    private int mRun;

    private void startControl() {
        mRun++;
        MembershipConfig config = MembershipConfig.builder("c", mRun).build();
        mView = new SharedMembership(config, List.of(), (b, reason, here) -> {});
        mControl = new DirectAnnouncements(mView, "s"::equals);
        mIsControlUp = true;
    }

    private void pass(Duration time) {
        Instant end = mNow.plus(time);
        while (mNow.isBefore(end)) {
            mNow = mNow.plus(STEP);
            if (mIsControlUp) {
                runControl();
            }
            mRouter.onTick(mNow);
        }
    }

    private void runControl() {
        mView.tick(mNow);
        for (int i = mHasLeft ? 1 : 0; i < SERVERS; i++) {
            if (isTurn(ANNOUNCING, STEP.multipliedBy(i))) {
                announce(i);
            }
        }
        if (isTurn(EXCHANGING, Duration.ZERO)) {
            mRouter.apply(mNow, mView.deltaSince(mRouter.cursor(), null));
        }
    }

    private boolean isTurn(Duration interval, Duration shift) {
        return (mNow.toEpochMilli() - shift.toMillis()) % interval.toMillis() == 0;
    }

    private void announce(int server) {
        mNumber++;
        BackendRef ref = new BackendRef("w" + server, 0);
        String address = "1.2.3." + server + ":80";
        Backend.State state = Backend.State.SERVING;
        mControl.receive(mNow, new Backend(ref, "s", "dc", "", address, state, 6, mNumber));
    }

    private void leave() {
        mHasLeft = true;
        assertThat(mControl.withdraw(mNow, LEAVING)).isEqualTo(DirectAnnouncements.Outcome.TAKEN);
    }

    private void restartControl() {
        mIsControlUp = false;
        pass(DOWN);
        startControl();
    }

    private List<String> serving() {
        TreeSet<String> names = new TreeSet<>();
        mRouter.view("s").candidates().stream()
                .filter(c -> !c.draining())
                .map(Candidate::id)
                .forEach(names::add);
        return List.copyOf(names);
    }

    // The word that a server leaves was acknowledged and lost with all of control before a router
    // asked.
    @Test
    void anAcknowledgedDepartureHoldsAfterAllOfControlWasStartedAnew() {
        startControl();
        pass(WARM_UP);
        leave();
        restartControl();
        pass(CALM_AFTER);
        assertThat(serving()).isEqualTo(STAYING);
    }

    @Test
    void aDepartureThatARouterWasToldHoldsAfterAllOfControlWasStartedAnew() {
        startControl();
        pass(WARM_UP);
        leave();
        pass(EXCHANGING);
        restartControl();
        pass(CALM_AFTER);
        assertThat(serving()).isEqualTo(STAYING);
    }

    // Servers that stay went out of use while control, started anew, had not heard them yet.
    @Test
    void serversThatStayAreKeptWhileControlHearsThemAnew() {
        startControl();
        pass(WARM_UP);
        restartControl();
        for (int i = 0; i < 50; i++) {
            pass(STEP);
            assertThat(serving()).containsAll(STAYING);
        }
    }
}
