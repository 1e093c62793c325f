package org.laurelweir.control.rpc;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests the limit on documents that are read at the same time. */
class DocumentBudgetTest {
    private final DocumentBudget mBudget = new DocumentBudget();

    // Guards against an instance that runs out of memory when several operators send large
    // documents at once. A document above the limit must still be read alone.
    @Test
    void readsALargeDocumentAloneAndSmallOnesTogether() {
        assertThat(mBudget.tryAcquire(3_000_000)).isTrue();
        assertThat(mBudget.tryAcquire(10)).isFalse();
        mBudget.release(3_000_000);
        assertThat(mBudget.tryAcquire(400_000)).isTrue();
        assertThat(mBudget.tryAcquire(400_000)).isTrue();
        assertThat(mBudget.tryAcquire(400_000)).isFalse();
        mBudget.release(400_000);
        assertThat(mBudget.tryAcquire(400_000)).isTrue();
    }
}
