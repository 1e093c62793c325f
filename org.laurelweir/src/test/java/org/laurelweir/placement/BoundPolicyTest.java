package org.laurelweir.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laurelweir.placement.BoundDecision.ADMIT;
import static org.laurelweir.placement.BoundDecision.REDIRECT;
import static org.laurelweir.placement.BoundDecision.REJECT;
import static org.laurelweir.placement.BoundDecision.WAIT;

import org.junit.jupiter.api.Test;

/** Tests a sidecar's decisions at different loads. */
class BoundPolicyTest {
    private static final WorkEstimate UNCACHED = new WorkEstimate(1000, 0, 100);
    private static final WorkEstimate CACHED = new WorkEstimate(1000, 900, 100);

    private final BoundPolicy mPolicy = new BoundPolicy(new BoundConfig(1.5, 0, 1.1, 10, 0.1, 2));

    private BoundDecision decide(
            WorkEstimate work,
            int redirects,
            boolean hasNextServer,
            boolean hasWaited,
            double running) {
        return mPolicy.decide(
                new BoundQuery(work, redirects, hasNextServer, hasWaited, true), running, 1000);
    }

    @Test
    void onlyCachedChatsAreAdmittedBetweenTheBounds() {
        assertThat(decide(CACHED, 0, true, false, 1300)).isEqualTo(ADMIT);
        assertThat(decide(UNCACHED, 0, true, false, 1300)).isEqualTo(REDIRECT);
    }

    @Test
    void headroomLowersTheBound() {
        BoundPolicy policy = new BoundPolicy(new BoundConfig(1.5, 0.1, 1.1, 10, 0.1, 2));
        BoundQuery query = new BoundQuery(CACHED, 0, true, false, true);
        assertThat(policy.decide(query, 1200, 1000)).isEqualTo(ADMIT);
        assertThat(policy.decide(query, 1250, 1000)).isEqualTo(WAIT);
    }

    @Test
    void cachedChatWaitsBeforeItIsRedirected() {
        assertThat(decide(CACHED, 0, true, false, 1450)).isEqualTo(WAIT);
        assertThat(decide(CACHED, 0, true, true, 1450)).isEqualTo(REDIRECT);
    }

    @Test
    void serverThatCannotRedirectUsesTheWholeBoundThenRejects() {
        assertThat(decide(UNCACHED, 2, true, false, 1300)).isEqualTo(ADMIT);
        assertThat(decide(UNCACHED, 2, true, false, 1450)).isEqualTo(WAIT);
        assertThat(decide(UNCACHED, 2, true, true, 1450)).isEqualTo(REJECT);
        assertThat(decide(UNCACHED, 0, false, true, 1450)).isEqualTo(REJECT);
    }

    @Test
    void requestWithUnreachableDeadlineNeverWaits() {
        BoundQuery redirectable = new BoundQuery(CACHED, 0, true, false, false);
        BoundQuery notRedirectable = new BoundQuery(CACHED, 2, true, false, false);
        assertThat(mPolicy.decide(redirectable, 0, 1000)).isEqualTo(REDIRECT);
        assertThat(mPolicy.decide(notRedirectable, 0, 1000)).isEqualTo(REJECT);
    }
}
