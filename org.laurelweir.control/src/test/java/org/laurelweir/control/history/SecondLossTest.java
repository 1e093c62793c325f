package org.laurelweir.control.history;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiPredicate;
import org.junit.jupiter.api.Test;
import org.laurelweir.control.history.JoiningControls.Instance;

/**
 * Tests that the log survives a further loss as soon as the one before it is promised to be made
 * good: 4 s after the start of the successor.
 */
class SecondLossTest {
    private static final long SEED = 53;
    private static final int VOTERS = 3;
    private static final int SETTLE_MILLIS = 5_000;
    private static final int SUCCESSOR_START_MILLIS = 1_000;

    /** Time from the first loss to the second one; 7.2 s after the successor's start. */
    private static final int SECOND_LOSS_MILLIS = 8_200;

    /** Long enough for the successor to have become a voter in place of the lost one. */
    private static final int LATE_SECOND_LOSS_MILLIS = 20_000;

    private static final int POWER_OFF_MILLIS = 1_000;
    private static final int RECOVERY_MILLIS = 12_000;

    // Guards against a log that stays without a quorum because a successor had not become a voter.
    @Test
    void secondVoterLosesItsDiskAfterTheFirstWasReplaced() {
        assertThat(unsurvivedLosses(SECOND_LOSS_MILLIS)).isEmpty();
    }

    // Guards against a successor that never becomes a voter, with which a later loss is the last.
    @Test
    void secondVoterLosesItsDiskLongAfterTheFirstWasReplaced() {
        assertThat(unsurvivedLosses(LATE_SECOND_LOSS_MILLIS)).isEmpty();
    }

    // Guards against a planned replacement that leaves two voters: the successor has been there for
    // long, the old voter stops in order, and the next voter loses its disk right after that.
    @Test
    void secondVoterLosesItsDiskRightAfterAPlannedReplacement() {
        assertThat(unsurvivedPairs(SecondLossTest::survivesAfterPlannedReplacement)).isEmpty();
    }

    private static List<String> unsurvivedLosses(int millisBetween) {
        return unsurvivedPairs((first, second) -> survives(first, second, millisBetween));
    }

    private static List<String> unsurvivedPairs(BiPredicate<Integer, Integer> survives) {
        List<String> unsurvived = new ArrayList<>();
        for (int first = 0; first < VOTERS; first++) {
            for (int second = 0; second < VOTERS; second++) {
                if (first != second && !survives.test(first, second)) {
                    unsurvived.add("voter " + first + ", then voter " + second);
                }
            }
        }
        return unsurvived;
    }

    private static boolean survivesAfterPlannedReplacement(int first, int second) {
        JoiningControls controls = new JoiningControls(VOTERS, VOTERS, SEED);
        Instance replaced = controls.instances().get(first);
        Instance wiped = controls.instances().get(second);
        assertThat(controls.change("/service=before", SETTLE_MILLIS)).isTrue();
        controls.add(true);
        controls.run(SETTLE_MILLIS);
        replaced.shutDown();
        replaced.lose();
        return survivesPowerLossAndWipe(controls, wiped);
    }

    private static boolean survives(int first, int second, int millisBetween) {
        JoiningControls controls = new JoiningControls(VOTERS, VOTERS, SEED);
        Instance lost = controls.instances().get(first);
        Instance wiped = controls.instances().get(second);
        assertThat(controls.change("/service=before", SETTLE_MILLIS)).isTrue();
        controls.run(SETTLE_MILLIS);
        lost.lose();
        controls.run(SUCCESSOR_START_MILLIS);
        controls.add(true);
        controls.run(millisBetween - SUCCESSOR_START_MILLIS);
        return survivesPowerLossAndWipe(controls, wiped);
    }

    private static boolean survivesPowerLossAndWipe(JoiningControls controls, Instance wiped) {
        controls.instances().forEach(Instance::stop);
        wiped.wipe();
        controls.run(POWER_OFF_MILLIS);
        controls.instances().forEach(Instance::start);
        return controls.change("/service=after", RECOVERY_MILLIS)
                && controls.canRead("/service=before", RECOVERY_MILLIS);
    }
}
