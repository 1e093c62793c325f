package org.laurelweir.runtime.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests who gives up bytes when all connections together hold too many. */
class PartialRequestsTest {
    private final PartialRequests mPartial = new PartialRequests(100);
    private final List<String> mGivenUp = new ArrayList<>();
    private final PartialRequests.Holder mOldest = () -> mGivenUp.add("oldest");
    private final PartialRequests.Holder mSecond = () -> mGivenUp.add("second");
    private final PartialRequests.Holder mLatest = () -> mGivenUp.add("latest");

    // Guards against a sum of many small parts that fills the memory.
    @Test
    void connectionThatHasHeldBytesLongestGivesThemUp() {
        mPartial.set(mOldest, 10);
        mPartial.set(mSecond, 60);
        mPartial.set(mOldest, 40);
        assertThat(mGivenUp).isEmpty();
        mPartial.set(mLatest, 30);
        assertThat(mGivenUp).containsExactly("oldest");
        assertThat(mPartial.bytes()).isEqualTo(90);
    }

    @Test
    void connectionThatHeldNothingMeanwhileCountsAsLater() {
        mPartial.set(mOldest, 10);
        mPartial.set(mSecond, 60);
        mPartial.set(mOldest, 0);
        mPartial.set(mOldest, 30);
        mPartial.set(mLatest, 30);
        assertThat(mGivenUp).containsExactly("second");
    }

    // Guards against counting a connection twice that gave up and was closed then.
    @Test
    void closedConnectionHoldsNothing() {
        mPartial.set(mOldest, 90);
        mPartial.set(mLatest, 90);
        mPartial.set(mOldest, 0);
        mPartial.set(mLatest, 0);
        assertThat(mPartial.bytes()).isZero();
    }
}
