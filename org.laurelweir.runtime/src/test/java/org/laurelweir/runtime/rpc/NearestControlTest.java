package org.laurelweir.runtime.rpc;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which control instance is asked after failures and possibly stale answers. */
class NearestControlTest {
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
