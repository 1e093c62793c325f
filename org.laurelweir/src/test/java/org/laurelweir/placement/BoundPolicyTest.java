package org.laurelweir.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laurelweir.placement.BoundDecision.ADMIT;
import static org.laurelweir.placement.BoundDecision.REDIRECT;
import static org.laurelweir.placement.BoundDecision.REJECT;
import static org.laurelweir.placement.BoundDecision.WAIT;

import org.junit.jupiter.api.Test;

/** What a sidecar does at each load. */
class BoundPolicyTest {
    private static final WorkEstimate FRESH = new WorkEstimate(1000, 0, 100);
    private static final WorkEstimate CACHED = new WorkEstimate(1000, 900, 100);

    private final BoundPolicy mPolicy = new BoundPolicy(new BoundConfig(1.5, 1.1, 10, 0.1, 2));

    @Test
    void roomBetweenTheBoundsIsForCachedChats() {
        assertThat(mPolicy.decide(CACHED, 0, true, false, 1300, 1000)).isEqualTo(ADMIT);
        assertThat(mPolicy.decide(FRESH, 0, true, false, 1300, 1000)).isEqualTo(REDIRECT);
    }

    @Test
    void cachedChatWaitsBeforeItMoves() {
        assertThat(mPolicy.decide(CACHED, 0, true, false, 1450, 1000)).isEqualTo(WAIT);
        assertThat(mPolicy.decide(CACHED, 0, true, true, 1450, 1000)).isEqualTo(REDIRECT);
    }

    @Test
    void lastServerUsesTheWholeBoundThenRejects() {
        assertThat(mPolicy.decide(FRESH, 2, true, false, 1300, 1000)).isEqualTo(ADMIT);
        assertThat(mPolicy.decide(FRESH, 2, true, false, 1450, 1000)).isEqualTo(WAIT);
        assertThat(mPolicy.decide(FRESH, 2, true, true, 1450, 1000)).isEqualTo(REJECT);
        assertThat(mPolicy.decide(FRESH, 0, false, true, 1450, 1000)).isEqualTo(REJECT);
    }
}
