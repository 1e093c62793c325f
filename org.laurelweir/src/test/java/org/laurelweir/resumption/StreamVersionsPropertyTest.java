package org.laurelweir.resumption;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.LongRange;
import org.laurelweir.fleet.FleetRouter;
import org.laurelweir.resumption.VersionedServers.Server;

/**
 * Tests that streams go on at the software version that began them, and that they do go on, while
 * versions come and go and routers and control instances are killed, cut off and slow to hear.
 */
class StreamVersionsPropertyTest {
    private static final int RUN_MILLIS = 40_000;
    private static final int MIN_SERVING = 4;
    private static final int MAX_DOWN_MILLIS = 2500;
    private static final int MIN_DOWN_MILLIS = 300;

    /** Number of streams of several versions that are allowed in one run. */
    private static final int MAX_CROSSED = 2;

    /** From this many counted streams on, the share that goes on is bounded. */
    private static final int MIN_COUNTED = 12;

    private static final List<String> VERSIONS = List.of("v1", "v1.1", "v1.2");

    private VersionedFleet mFleet;
    private Random mRandom;

    private void startFleet(long seed, int maxAttempts) {
        mFleet = new VersionedFleet(seed, maxAttempts);
        mRandom = mFleet.time().random();
    }

    private Server randomServer() {
        List<Server> running = mFleet.mServers.running();
        return running.get(mRandom.nextInt(running.size()));
    }

    private String randomVersion() {
        return VERSIONS.get(mRandom.nextInt(VERSIONS.size()));
    }

    private int randomDownMillis() {
        return MIN_DOWN_MILLIS + mRandom.nextInt(MAX_DOWN_MILLIS);
    }

    private boolean mayLoseServer() {
        return mFleet.mServers.running().stream().filter(Server::isServing).count() > MIN_SERVING;
    }

    /** Servers start, leave and crash; others start at their addresses under new ids. */
    private void changeServers() {
        if (mRandom.nextBoolean() || !mayLoseServer()) {
            mFleet.mServers.start(randomVersion());
            return;
        }
        Server s = randomServer();
        switch (mRandom.nextInt(3)) {
            case 0 -> mFleet.mServers.withdraw(s);
            case 1 -> mFleet.mServers.crash(s);
            default -> mFleet.mServers.replace(s, randomDownMillis(), randomVersion());
        }
    }

    private void disturbRouter() {
        FleetRouter router = mFleet.randomRouter();
        mFleet.disturb(router);
        switch (mRandom.nextInt(3)) {
            case 0 -> router.restart();
            case 1 -> cutOffForAWhile(router);
            default -> hearSlowlyForAWhile(router);
        }
    }

    private void cutOffForAWhile(FleetRouter router) {
        router.setCutOff(true);
        keepDisturbed(router, 1 + mRandom.nextInt(4), () -> router.setCutOff(false));
    }

    private void hearSlowlyForAWhile(FleetRouter router) {
        router.setMaxHearingDelayMillis(700);
        keepDisturbed(router, 1 + mRandom.nextInt(4), () -> router.setMaxHearingDelayMillis(0));
    }

    private void keepDisturbed(FleetRouter router, int seconds, Runnable end) {
        mFleet.time()
                .after(
                        seconds * 1000L,
                        () -> {
                            end.run();
                            mFleet.disturb(router);
                        });
        for (int i = 1; i < seconds; i++) {
            mFleet.time().after(i * 1000L, () -> mFleet.disturb(router));
        }
    }

    private void restartControl() {
        int control = mRandom.nextInt(mFleet.mControls.count());
        mFleet.disturbControl();
        mFleet.mControls.stop(control);
        mFleet.time().after(randomDownMillis(), () -> startControl(control));
    }

    private void startControl(int control) {
        mFleet.disturbControl();
        if (!mFleet.mControls.isUp(control)) {
            mFleet.mControls.start(control);
        }
    }

    private void assertNothingCrossed(int maxCrossed) {
        mFleet.time().advance(RUN_MILLIS);
        assertThat(mFleet.outOfOrder()).as("streams with a missing or doubled event").isZero();
        assertThat(mFleet.crossed())
                .as("streams of several versions, of %d", mFleet.mCallers.size())
                .isLessThanOrEqualTo(maxCrossed);
        if (mFleet.counted().size() >= MIN_COUNTED) {
            assertThat(mFleet.shareGoneOn())
                    .as("share of the %d streams that go on", mFleet.counted().size())
                    .isGreaterThanOrEqualTo(mFleet.shareBegun() / 2);
        }
    }

    // Guards against a stream that a caller goes on with at another version, at the router that
    // began it or at any other.
    @Property(tries = 8, seed = "5601", shrinking = ShrinkingMode.OFF)
    void callersGoOnAtTheVersionThatBegan(@ForAll @LongRange(min = 0) long seed) {
        startFleet(seed, 1);
        mFleet.time().every(1500, this::changeServers);
        assertNothingCrossed(0);
        assertThat(mFleet.counted()).hasSizeGreaterThanOrEqualTo(MIN_COUNTED);
    }

    // Guards against the same while the routers that know a stream are killed, cut off or behind.
    @Property(tries = 8, seed = "5602", shrinking = ShrinkingMode.OFF)
    void streamsGoOnWhileRoutersAreDisturbed(@ForAll @LongRange(min = 0) long seed) {
        startFleet(seed, 2);
        mFleet.time().every(1500, this::changeServers);
        mFleet.time().every(700, this::disturbRouter);
        assertNothingCrossed(0);
    }

    // Guards against the same while control instances lose what they keep.
    @Property(tries = 8, seed = "5603", shrinking = ShrinkingMode.OFF)
    void streamsGoOnWhileControlIsDisturbed(@ForAll @LongRange(min = 0) long seed) {
        startFleet(seed, 2);
        mFleet.time().every(1500, this::changeServers);
        mFleet.time().every(2500, this::disturbRouter);
        mFleet.time().every(5000, this::restartControl);
        assertNothingCrossed(0);
    }

    // Guards against the same where servers start again under their ids with another version.
    @Property(tries = 8, seed = "5605", shrinking = ShrinkingMode.OFF)
    void streamsGoOnWhileServersReturnAndSaySo(@ForAll @LongRange(min = 0) long seed) {
        startFleet(seed, 2);
        mFleet.mServers.announceInTime();
        returnServers();
        assertNothingCrossed(MAX_CROSSED);
    }

    // Guards against the same where a server tells seconds late that it has started again.
    @Property(tries = 8, seed = "5604", shrinking = ShrinkingMode.OFF)
    void streamsGoOnWhileServersReturnWithAnotherVersion(@ForAll @LongRange(min = 0) long seed) {
        startFleet(seed, 2);
        returnServers();
        assertNothingCrossed(MAX_CROSSED);
    }

    private void returnServers() {
        mFleet.time()
                .every(
                        2000,
                        () ->
                                mFleet.mServers.restart(
                                        randomServer(), randomDownMillis(), randomVersion()));
        mFleet.time().every(2500, this::disturbRouter);
    }
}
