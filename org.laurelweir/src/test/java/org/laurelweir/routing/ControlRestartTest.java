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
 * Tests which backend servers a router uses after all control instances restarted and lost the
 * record of departures. One instance stands for all of control. A departing server announces its
 * departure once.
 */
class ControlRestartTest {
    private static final Duration STEP = Duration.ofMillis(100);
    private static final Duration ANNOUNCE_INTERVAL = Duration.ofMillis(1200);
    private static final Duration EXCHANGE_INTERVAL = Duration.ofMillis(300);
    private static final Duration WARM_UP = Duration.ofSeconds(6);
    private static final Duration DOWNTIME = Duration.ofSeconds(1);

    /** Time after the last fault within which the router has the right view again. */
    private static final Duration SETTLE_TIME = Duration.ofSeconds(3);

    private static final int SERVER_COUNT = 12;
    private static final BackendRef DEPARTING_SERVER = new BackendRef("w0", 0);
    private static final List<String> REMAINING_SERVERS =
            IntStream.range(1, SERVER_COUNT).mapToObj(i -> "w" + i).sorted().toList();

    private final Memberships mMemberships = new Memberships(b -> {});
    private SharedMembership mControlView;
    private DirectAnnouncements mAnnouncements;
    private boolean mIsControlUp;
    private boolean mHasLeft;
    private Instant mNow = Instant.EPOCH;
    private int mAnnouncementNumber;
    private int mControlRun;

    private void startControl() {
        mControlRun++;
        MembershipConfig config = MembershipConfig.builder("c", mControlRun).build();
        mControlView = new SharedMembership(config, List.of(), (b, reason, here) -> {});
        mAnnouncements = new DirectAnnouncements(mControlView, "s"::equals);
        mIsControlUp = true;
    }

    private void advance(Duration time) {
        Instant end = mNow.plus(time);
        while (mNow.isBefore(end)) {
            mNow = mNow.plus(STEP);
            if (mIsControlUp) {
                runControl();
            }
            mMemberships.onTick(mNow);
        }
    }

    private void runControl() {
        mControlView.tick(mNow);
        for (int i = mHasLeft ? 1 : 0; i < SERVER_COUNT; i++) {
            if (isDue(ANNOUNCE_INTERVAL, STEP.multipliedBy(i))) {
                announce(i);
            }
        }
        if (isDue(EXCHANGE_INTERVAL, Duration.ZERO)) {
            mMemberships.apply(mNow, mControlView.deltaSince(mMemberships.cursor(), null));
        }
    }

    private boolean isDue(Duration interval, Duration shift) {
        return (mNow.toEpochMilli() - shift.toMillis()) % interval.toMillis() == 0;
    }

    private void announce(int server) {
        mAnnouncementNumber++;
        BackendRef ref = new BackendRef("w" + server, 0);
        String address = "1.2.3." + server + ":80";
        Backend.State state = Backend.State.SERVING;
        mAnnouncements.receive(
                mNow, new Backend(ref, "s", "dc", "", address, state, 6, mAnnouncementNumber));
    }

    private void withdrawServer() {
        mHasLeft = true;
        assertThat(mAnnouncements.withdraw(mNow, DEPARTING_SERVER))
                .isEqualTo(DirectAnnouncements.Outcome.TAKEN);
    }

    private void restartControl() {
        mIsControlUp = false;
        advance(DOWNTIME);
        startControl();
    }

    private List<String> servingIds() {
        TreeSet<String> names = new TreeSet<>();
        mMemberships.view("s").candidates().stream()
                .filter(c -> !c.draining())
                .map(Candidate::id)
                .forEach(names::add);
        return List.copyOf(names);
    }

    // Guards against requests to a departed server. Control acknowledges the departure and loses it
    // in a restart before the router asks.
    @Test
    void acknowledgedDepartureSurvivesControlRestart() {
        startControl();
        advance(WARM_UP);
        withdrawServer();
        restartControl();
        advance(SETTLE_TIME);
        assertThat(servingIds()).isEqualTo(REMAINING_SERVERS);
    }

    @Test
    void departureKnownToTheRouterSurvivesControlRestart() {
        startControl();
        advance(WARM_UP);
        withdrawServer();
        advance(EXCHANGE_INTERVAL);
        restartControl();
        advance(SETTLE_TIME);
        assertThat(servingIds()).isEqualTo(REMAINING_SERVERS);
    }

    // Guards against remaining servers that receive no requests, because restarted control answers
    // before they have announced themselves again.
    @Test
    void remainingServersAreKeptAfterControlRestart() {
        startControl();
        advance(WARM_UP);
        restartControl();
        for (int i = 0; i < 50; i++) {
            advance(STEP);
            assertThat(servingIds()).containsAll(REMAINING_SERVERS);
        }
    }
}
