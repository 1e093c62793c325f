package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.lib.ResultCode;

/** Tests that requests stay in the regions that their route and client account allow. */
class AllowedRegionsTest {
    private static final int SERVERS_PER_REGION = 3;
    private static final int REQUESTS = 200;
    private static final List<String> REGIONS = List.of("north", "south", "west");

    private final DirectRoutingDriver mDriver = new DirectRoutingDriver(0);

    AllowedRegionsTest() {
        for (String region : REGIONS) {
            for (int i = 0; i < SERVERS_PER_REGION; i++) {
                mDriver.join(region + i, region);
            }
        }
    }

    private static AllowedRegions regions(String... names) {
        return AllowedRegions.of(List.of(names));
    }

    private void arrive(long caller, AllowedRegions allowed) {
        AttemptRequest.Call call =
                new AttemptRequest.Call("GET", "/x", List.of(), new byte[0], false);
        mDriver.step(
                new DirectEvent.RequestArrived(
                        caller,
                        new RoutedRequest(
                                "q" + caller,
                                DirectRoutingDriver.route(true, false, false),
                                "acme",
                                5,
                                Duration.ofSeconds(1),
                                call,
                                Prompt.NONE,
                                allowed,
                                Resumption.NONE,
                                RequestTerms.NONE)));
    }

    // Guards against a request that reaches a region where its account must not be served, on a
    // first attempt or on a retry.
    @Test
    void attemptsAndRetriesStayInAllowedRegions() {
        for (int i = 1; i <= REQUESTS; i++) {
            arrive(i, regions("south", "west"));
            long call = mDriver.lastCall().call();
            assertThat(mDriver.lastCall().backend().id()).doesNotStartWith("north");
            mDriver.step(new DirectEvent.Failed(call, DirectEvent.Failure.NOT_SENT, "refused"));
            assertThat(mDriver.lastCall().backend().id()).doesNotStartWith("north");
            mDriver.step(new DirectEvent.CallerGone(i));
        }
    }

    // Guards against holding a request, or sending it elsewhere, when no allowed server is there.
    @Test
    void requestIsRefusedAtOnceWithoutAnAllowedServer() {
        arrive(1, regions("east"));
        assertThat(mDriver.callCount()).isZero();
        assertThat(mDriver.last(DirectEffect.AnswerError.class).code())
                .isEqualTo(ResultCode.OVERLOADED);
    }

    @Test
    void limitsOfRouteAndAccountBothHold() {
        AllowedRegions both = regions("north", "south").and(regions("south", "west"));
        assertThat(both).isEqualTo(regions("south"));
        assertThat(regions("north").and(AllowedRegions.ALL)).isEqualTo(regions("north"));
        assertThat(AllowedRegions.ALL.and(regions("north"))).isEqualTo(regions("north"));
        AllowedRegions none = regions("north").and(regions("south"));
        assertThat(none.allows("north")).isFalse();
        assertThat(none.allows("south")).isFalse();
    }

    // Guards against serving a limited request at a server whose region nobody has told.
    @Test
    void unknownRegionIsNotAllowed() {
        assertThat(regions("north").allows("")).isFalse();
        assertThat(AllowedRegions.ALL.allows("")).isTrue();
    }
}
