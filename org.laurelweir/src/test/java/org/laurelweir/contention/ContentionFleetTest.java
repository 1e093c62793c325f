package org.laurelweir.contention;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.laurelweir.fleet.FleetControls;
import org.laurelweir.fleet.VirtualTime;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;

/** Tests the sums that routers get from several control instances while some of them fail. */
class ContentionFleetTest {
    private static final int CONTROLS = 3;
    private static final int ROUTERS = 12;
    private static final int SERVERS = 4;
    private static final String SERVICE = "svc";
    private static final String ACCOUNT = "acme";

    /** Two exchanges, the digest of control, and a message between two control instances. */
    private static final int PROPAGATION_MILLIS = 900;

    /** Five of the exchange intervals that the control instances are configured with. */
    private static final int ROUTER_TIMEOUT_MILLIS = 5_000;

    private final VirtualTime mTime = new VirtualTime(7);
    private final FleetControls mControls = new FleetControls(mTime, CONTROLS);
    private final List<DemandRouter> mRouters = new ArrayList<>();

    private static BackendRef ref(int number) {
        return new BackendRef("s" + number, 1);
    }

    private void announceServers() {
        for (int i = 0; i < SERVERS; i++) {
            Backend b =
                    new Backend(
                            ref(i),
                            SERVICE,
                            "dc",
                            "rg",
                            "s" + i,
                            Backend.State.SERVING,
                            1,
                            (int) mTime.millis() + 1);
            mControls.announce(() -> b);
        }
    }

    @BeforeEach
    void start() {
        mTime.every(500, this::announceServers);
        for (int i = 0; i < ROUTERS; i++) {
            mRouters.add(new DemandRouter(mTime, mControls, i, ROUTERS));
        }
        mTime.advance(3_000);
    }

    private void send(DemandRouter router, int server, long tokens) {
        router.mDemand.onSent(mTime.instant(), ref(server), ACCOUNT, tokens);
    }

    private double tokens(DemandRouter router, int server) {
        return router.mDemand.tokens(mTime.instant(), SERVICE, ref(server));
    }

    private double ageMillis(DemandRouter router) {
        return router.mDemand.ageMillis(mTime.instant());
    }

    private void stopControls() {
        IntStream.range(0, CONTROLS).forEach(mControls::stop);
    }

    private void startControls() {
        IntStream.range(0, CONTROLS).forEach(mControls::start);
    }

    // Guards against any message of this kind in deployments that are not contended.
    @Test
    void routersWithoutDemandExchangeNone() {
        mTime.advance(5_000);
        for (DemandRouter r : mRouters) {
            assertThat(r.mReports).hasSizeGreaterThan(15).containsOnly(ContentionReport.NONE);
            assertThat(r.mAnswers)
                    .hasSizeGreaterThan(15)
                    .allMatch(a -> a.contention().equals(ContentionDigest.NONE));
            assertThat(ageMillis(r)).isNaN();
        }
    }

    // Guards against routers that know only those that report to the same control instance.
    @Test
    void everyRouterKnowsTheTokensOfAll() {
        mRouters.forEach(r -> send(r, 0, 100));
        mTime.advance(PROPAGATION_MILLIS);
        mRouters.forEach(r -> assertThat(ageMillis(r)).isLessThan(PROPAGATION_MILLIS));
        // A digest that is some milliseconds old has faded by as much.
        mRouters.forEach(r -> assertThat(tokens(r, 0)).isBetween(900.0, 1_200.0));
        mRouters.forEach(r -> assertThat(tokens(r, 1)).isEqualTo(300));
    }

    // Guards against sums that stay wrong after lost requests, answers and time-outs.
    @ParameterizedTest
    @ValueSource(doubles = {0.1, 0.3})
    void sumsAreRightAfterLostMessages(double lostShare) {
        mRouters.forEach(r -> r.setLostShare(lostShare));
        for (int i = 0; i < 50; i++) {
            for (DemandRouter r : mRouters) {
                send(r, 0, 100);
                mTime.advance(5);
                r.mDemand.onReleased(mTime.instant(), ref(0), ACCOUNT, i == 49 ? 0 : 100);
            }
        }
        mRouters.forEach(r -> r.setLostShare(0));
        mTime.advance(ROUTER_TIMEOUT_MILLIS + PROPAGATION_MILLIS);
        for (DemandRouter r : mRouters) {
            assertThat(r.mAnswers.get(r.mAnswers.size() - 1).contention().servers())
                    .containsExactly(new ServerDemand(ref(0), 100 * ROUTERS, 0, 0));
        }
    }

    // Guards against tokens of a dead router that keep room from the others.
    @Test
    void tokensOfADeadRouterLeave() {
        mRouters.forEach(r -> send(r, 0, 100));
        mTime.advance(PROPAGATION_MILLIS);
        mRouters.get(0).kill();
        mTime.advance(ROUTER_TIMEOUT_MILLIS + PROPAGATION_MILLIS);
        for (DemandRouter r : mRouters.subList(1, ROUTERS)) {
            assertThat(r.mAnswers.get(r.mAnswers.size() - 1).contention().accountTokens())
                    .isEqualTo(100 * (ROUTERS - 1));
        }
    }

    // Guards against sums that lack most routers after control has restarted, and against routers
    // that go on with incremental reports to control that knows nothing of them.
    @Test
    void sumsAreCompleteAfterControlRestarts() {
        mRouters.forEach(r -> send(r, 0, 100));
        mTime.advance(PROPAGATION_MILLIS);
        stopControls();
        startControls();
        mRouters.forEach(r -> r.mReports.clear());
        for (int i = 0; i < 300; i++) {
            mTime.advance(10);
            // A sum of half of the routers may be used, and fades until the next digest.
            mRouters.forEach(r -> assertThat(tokens(r, 0)).isGreaterThan(0.7 * 100 * ROUTERS / 2));
        }
        for (DemandRouter r : mRouters) {
            assertThat(r.mReports.subList(0, 4)).anyMatch(ContentionReport::full);
            assertThat(ageMillis(r)).isLessThan(PROPAGATION_MILLIS);
            assertThat(r.mAnswers.get(r.mAnswers.size() - 1).contention().accountTokens())
                    .isEqualTo(100 * ROUTERS);
        }
    }

    // Guards against decisions by sums of long ago while control is silent.
    @Test
    void ownNumbersCountAfterThreeSecondsWithoutControl() {
        mRouters.forEach(r -> send(r, 0, 100));
        mTime.advance(PROPAGATION_MILLIS);
        double before = tokens(mRouters.get(0), 0);
        stopControls();
        mTime.advance(1_500);
        double faded = tokens(mRouters.get(0), 0);
        assertThat(faded).isLessThan(before).isGreaterThan(300);
        mTime.advance(1_500);
        mRouters.forEach(r -> assertThat(ageMillis(r)).isNaN());
        mRouters.forEach(r -> assertThat(tokens(r, 0)).isEqualTo(100));
        startControls();
        mTime.advance(4_000);
        mRouters.forEach(r -> assertThat(ageMillis(r)).isLessThan(PROPAGATION_MILLIS));
    }

    // Guards against taking the sum of a few routers for the sum of all.
    @Test
    void sumsOfFewerThanHalfOfTheRoutersAreNotUsed() {
        mRouters.forEach(r -> send(r, 0, 100));
        mTime.advance(PROPAGATION_MILLIS);
        mRouters.subList(0, ROUTERS / 2 + 1).forEach(DemandRouter::kill);
        mTime.advance(ROUTER_TIMEOUT_MILLIS + 3_000 + PROPAGATION_MILLIS);
        for (DemandRouter r : mRouters.subList(ROUTERS / 2 + 1, ROUTERS)) {
            assertThat(ageMillis(r)).isNaN();
            assertThat(tokens(r, 0)).isEqualTo(100);
        }
    }
}
