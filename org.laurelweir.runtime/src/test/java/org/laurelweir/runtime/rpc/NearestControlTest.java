package org.laurelweir.runtime.rpc;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which control instance is used after failures and possibly stale answers. */
class NearestControlTest {
    /** Accepted settings must take effect within this number of a router's exchanges. */
    private static final int MAX_EXCHANGES_UNTIL_MOVE = 12;

    private static final int MAX_OUTAGE_ANSWERS = 300;

    private final NearestControl mControl = new NearestControl(List.of("near", "far"));

    private int exchangesUntilReturn() {
        int exchanges = 1;
        while (!mControl.returnToNearestIfDue()) {
            exchanges++;
        }
        return exchanges;
    }

    @Test
    void doublesReturnDelayAfterEachFailure() {
        mControl.moveToNext();
        assertThat(mControl.address()).isEqualTo("far");
        int first = exchangesUntilReturn();
        assertThat(mControl.address()).isEqualTo("near");
        mControl.moveToNext();
        assertThat(exchangesUntilReturn()).isEqualTo(2 * first);
    }

    // The nearest instance is behind a partition. It answers promptly, but cannot confirm its
    // settings.
    @Test
    void movesAfterTwoStaleAnswers() {
        int answers = 1;
        while (!mControl.moveToNextIfStale(true)) {
            answers++;
        }
        assertThat(answers).isEqualTo(2);
        assertThat(mControl.address()).isEqualTo("far");
        assertThat(mControl.moveToNextIfStale(false)).isFalse();
    }

    // Guards against routers that apply old settings for five seconds because several instances in
    // a row are cut off.
    @Test
    void movesAfterTwoStaleAnswersFromEachInstance() {
        NearestControl control = new NearestControl(List.of("a", "b", "c", "d", "e", "f", "g"));
        int answers = 0;
        while (!control.address().equals("d")) {
            control.moveToNextIfStale(true);
            answers++;
        }
        assertThat(answers).isEqualTo(6);
    }

    // Guards against routers that stay with an instance that is still cut off after a time without
    // a quorum.
    @Test
    void moveDelayStaysBoundedAfterQuorumLoss() {
        for (int outage = 0; outage <= MAX_OUTAGE_ANSWERS; outage++) {
            NearestControl control = new NearestControl(List.of("a", "b", "c", "d", "e"));
            for (int i = 0; i < outage; i++) {
                control.moveToNextIfStale(true);
            }
            assertThat(staleAnswersUntilMove(control))
                    .as("answers of an instance still cut off, after %d without a quorum", outage)
                    .isLessThanOrEqualTo(MAX_EXCHANGES_UNTIL_MOVE);
        }
    }

    // Guards against a search for other instances that slows down with each answer of the only
    // instance that is not silent.
    @Test
    void failuresOfOtherInstancesDoNotDelayTheMove() {
        for (int rounds = 0; rounds <= MAX_OUTAGE_ANSWERS; rounds++) {
            NearestControl control = new NearestControl(List.of("a", "b", "c"));
            for (int i = 0; i < rounds; i++) {
                staleAnswersUntilMove(control);
                control.moveToNext();
                control.moveToNext();
            }
            assertThat(control.address()).isEqualTo("a");
            assertThat(staleAnswersUntilMove(control))
                    .as("answers of the instance cut off, after the others failed %d times", rounds)
                    .isLessThanOrEqualTo(MAX_EXCHANGES_UNTIL_MOVE);
        }
    }

    private static int staleAnswersUntilMove(NearestControl control) {
        String stale = control.address();
        int answers = 0;
        while (control.address().equals(stale)) {
            control.moveToNextIfStale(true);
            answers++;
        }
        return answers;
    }

    // Each move costs a full view of the membership.
    @Test
    void movesRarelyIfAllInstancesAreStale() {
        NearestControl control = new NearestControl(List.of("a", "b", "c", "d", "e"));
        int moves = 0;
        for (int i = 0; i < 300; i++) {
            if (control.moveToNextIfStale(true)) {
                moves++;
            }
        }
        assertThat(moves).isLessThan(30);
    }

    @Test
    void keepsTheOnlyInstanceIfStale() {
        NearestControl alone = new NearestControl(List.of("only"));
        for (int i = 0; i < 1000; i++) {
            assertThat(alone.moveToNextIfStale(true)).isFalse();
        }
    }
}
