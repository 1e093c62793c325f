package org.laurelweir.runtime.rpc;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which control instance is asked after failures and possibly stale answers. */
class NearestControlTest {
    /** Accepted settings are to be in force within as many exchanges of a router. */
    private static final int EXCHANGES_IN_TIME = 12;

    private static final int LONGEST_OUTAGE = 300;

    private final NearestControl mControl = new NearestControl(List.of("near", "far"));

    private int exchangesUntilReturn() {
        int exchanges = 1;
        while (!mControl.returns()) {
            exchanges++;
        }
        return exchanges;
    }

    @Test
    void returnsToNearestLaterEachTimeThatItFails() {
        mControl.leave();
        assertThat(mControl.address()).isEqualTo("far");
        int first = exchangesUntilReturn();
        assertThat(mControl.address()).isEqualTo("near");
        mControl.leave();
        assertThat(exchangesUntilReturn()).isEqualTo(2 * first);
    }

    // The nearest instance sits behind a partition and answers promptly, with settings that it
    // can't confirm.
    @Test
    void leavesInstanceThatStaysStale() {
        int answers = 1;
        while (!mControl.leavesStale(true)) {
            answers++;
        }
        assertThat(answers).isEqualTo(2);
        assertThat(mControl.address()).isEqualTo("far");
        assertThat(mControl.leavesStale(false)).isFalse();
    }

    // Where several instances in a row were cut off, routers obeyed old settings for five seconds.
    @Test
    void passesAllThatAreCutOffAtTheSamePace() {
        NearestControl control = new NearestControl(List.of("a", "b", "c", "d", "e", "f", "g"));
        int answers = 0;
        while (!control.address().equals("d")) {
            control.leavesStale(true);
            answers++;
        }
        assertThat(answers).isEqualTo(6);
    }

    // After a time without any quorum, routers stayed with instances that were still cut off.
    @Test
    void findsWhoCanConfirmHoweverLongNobodyCould() {
        for (int outage = 0; outage <= LONGEST_OUTAGE; outage++) {
            NearestControl control = new NearestControl(List.of("a", "b", "c", "d", "e"));
            for (int i = 0; i < outage; i++) {
                control.leavesStale(true);
            }
            assertThat(answersUntilAnotherIsAsked(control))
                    .as("answers of one that is still cut off, after %d without a quorum", outage)
                    .isLessThanOrEqualTo(EXCHANGES_IN_TIME);
        }
    }

    // While others were silent, each answer of the one instance left slowed the search for them.
    @Test
    void silenceOfTheOthersIsNoReasonToStay() {
        for (int rounds = 0; rounds <= LONGEST_OUTAGE; rounds++) {
            NearestControl control = new NearestControl(List.of("a", "b", "c"));
            for (int i = 0; i < rounds; i++) {
                answersUntilAnotherIsAsked(control);
                control.leave();
                control.leave();
            }
            assertThat(control.address()).isEqualTo("a");
            assertThat(answersUntilAnotherIsAsked(control))
                    .as(
                            "answers of the one that is cut off, after the others failed %d times",
                            rounds)
                    .isLessThanOrEqualTo(EXCHANGES_IN_TIME);
        }
    }

    private static int answersUntilAnotherIsAsked(NearestControl control) {
        String stale = control.address();
        int answers = 0;
        while (control.address().equals(stale)) {
            control.leavesStale(true);
            answers++;
        }
        return answers;
    }

    // Each move costs a whole view of the membership.
    @Test
    void movesSeldomWhereNoInstanceCanConfirm() {
        NearestControl control = new NearestControl(List.of("a", "b", "c", "d", "e"));
        int moves = 0;
        for (int i = 0; i < 300; i++) {
            if (control.leavesStale(true)) {
                moves++;
            }
        }
        assertThat(moves).isLessThan(30);
    }

    @Test
    void aloneItIsKeptHoweverStale() {
        NearestControl alone = new NearestControl(List.of("only"));
        for (int i = 0; i < 1000; i++) {
            assertThat(alone.leavesStale(true)).isFalse();
        }
    }
}
