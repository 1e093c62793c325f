package org.laurelweir.control.rpc;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** How much is read at the same time. */
class DocumentBudgetTest {
    private final DocumentBudget mBudget = new DocumentBudget();

    // Operators see: an instance that is gone. Order: several send large documents at once. Why:
    // what is read at the same time has a bound, and a large one is still read alone.
    @Test
    void aLargeDocumentIsReadAloneAndSmallOnesTogether() {
        assertThat(mBudget.take(3_000_000)).isTrue();
        assertThat(mBudget.take(10)).isFalse();
        mBudget.giveBack(3_000_000);
        assertThat(mBudget.take(400_000)).isTrue();
        assertThat(mBudget.take(400_000)).isTrue();
        assertThat(mBudget.take(400_000)).isFalse();
        mBudget.giveBack(400_000);
        assertThat(mBudget.take(400_000)).isTrue();
    }
}
