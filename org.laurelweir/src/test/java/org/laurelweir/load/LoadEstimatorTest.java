package org.laurelweir.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.laurelweir.lib.BackendRef;

/** Tests the estimated loads of backend servers that a router calls seldom. */
class LoadEstimatorTest {
    private static final Instant NOW = Instant.EPOCH;
    private static final Instant HALF_EXPIRED = NOW.plus(ServerEstimate.MAX_AGE.dividedBy(2));
    private static final Instant EXPIRED = NOW.plus(ServerEstimate.MAX_AGE);
    private static final String SERVICE = "svc";
    private static final int ROUTERS = 10;
    private static final long PART = 77;
    private static final BackendRef FIRST_INCARNATION = new BackendRef("w", 1000);
    private static final BackendRef SECOND_INCARNATION = new BackendRef("w", 2000);
    private static final BackendRef SERVER = new BackendRef("v", 1);

    private final LoadEstimator mLoads = new LoadEstimator();

    private static LoadDigest digest(int routers, double mean, BackendLoad... busy) {
        return new LoadDigest(
                routers,
                List.of(new MeanLoad(SERVICE, mean)),
                List.of(busy),
                List.of(new PartLoad(PART, 5)));
    }

    private static LoadDigest digest(double mean, BackendLoad... busy) {
        return digest(ROUTERS, mean, busy);
    }

    private void receiveDigest(LoadDigest digest) {
        mLoads.onDigest(digest, ROUTERS, ref -> SERVICE);
    }

    private void exchange(Instant now, LoadDigest digest) {
        mLoads.report(now);
        receiveDigest(digest);
    }

    private double estimate(Instant now, BackendRef ref) {
        return mLoads.estimate(now, SERVICE, ref).requests();
    }

    // Guards against a server that gets no request after a restart under load.
    @Test
    void restartedServerDoesNotInheritTheLoad() {
        mLoads.onRequestSent(FIRST_INCARNATION, 0);
        mLoads.onReportedLoad(NOW, FIRST_INCARNATION, 35);
        assertThat(estimate(NOW, SECOND_INCARNATION)).isZero();
        mLoads.onRequestSent(SECOND_INCARNATION, 0);
        mLoads.onRequestEnded(FIRST_INCARNATION, 0);
        mLoads.onReportedLoad(NOW, FIRST_INCARNATION, 35);
        assertThat(estimate(NOW, SECOND_INCARNATION)).isEqualTo(1);
    }

    // Guards against preferring a server because its load is unknown.
    @Test
    void unknownLoadIsEstimatedAsTheMean() {
        exchange(NOW, digest(5));
        assertThat(estimate(NOW, SERVER)).isEqualTo(5);
    }

    // Guards against ignoring the router's requests at a server that is not listed as busy.
    @Test
    void requestsSentSinceTheReportAreAddedToTheMean() {
        mLoads.onRequestSent(SERVER, 0);
        exchange(NOW, digest(5));
        assertThat(estimate(NOW, SERVER)).isEqualTo(5);
        mLoads.onRequestSent(SERVER, 0);
        mLoads.onRequestSent(SERVER, 0);
        assertThat(estimate(NOW, SERVER)).isEqualTo(7);
    }

    // Guards against ignoring the requests of other routers at a server that does not answer.
    @Test
    void requestsOfOtherRoutersCount() {
        exchange(NOW, digest(4, new BackendLoad(SERVER, 12)));
        assertThat(estimate(NOW, SERVER)).isEqualTo(12);
        mLoads.onRequestSent(SERVER, 0);
        assertThat(estimate(NOW, SERVER)).isEqualTo(13);
    }

    // Guards against counting requests that have ended since the report.
    @Test
    void requestsEndedSinceTheReportAreSubtracted() {
        mLoads.onRequestSent(SERVER, 0);
        mLoads.onRequestSent(SERVER, 0);
        mLoads.report(NOW);
        mLoads.onRequestEnded(SERVER, 0);
        receiveDigest(digest(4, new BackendLoad(SERVER, 12)));
        assertThat(estimate(NOW, SERVER)).isEqualTo(11);
    }

    // Guards against a load that counts in full until it expires and then drops at once.
    @Test
    void loadFadesIntoTheMean() {
        exchange(NOW, digest(4, new BackendLoad(SERVER, 12)));
        assertThat(estimate(HALF_EXPIRED, SERVER)).isCloseTo(8, within(0.01));
        assertThat(mLoads.estimate(HALF_EXPIRED, SERVICE, SERVER).ageMillis()).isEqualTo(1500);
    }

    // Guards against avoiding a server for seconds after it has room again.
    @Test
    void serverThatIsNotListedAsBusyHasTheMean() {
        exchange(NOW, digest(4, new BackendLoad(SERVER, 12)));
        exchange(NOW.plusMillis(300), digest(4));
        assertThat(estimate(NOW.plusMillis(300), SERVER)).isEqualTo(4);
    }

    // Guards against a digest that replaces a load which the server reported after the report.
    @Test
    void serverReportPrevailsOverADigestOfAnEarlierReport() {
        mLoads.report(NOW);
        mLoads.onReportedLoad(NOW.plusMillis(10), SERVER, 12);
        receiveDigest(digest(4));
        assertThat(estimate(NOW.plusMillis(10), SERVER)).isEqualTo(12);
    }

    // Guards against a digest that overrides the server's own report but lacks the latest requests
    // of other routers.
    @Test
    void serverReportPrevailsForAMoment() {
        mLoads.onReportedLoad(NOW, SERVER, 24);
        exchange(NOW.plusMillis(100), digest(4));
        assertThat(estimate(NOW, SERVER)).isEqualTo(24);
        exchange(NOW.plusMillis(399), digest(4, new BackendLoad(SERVER, 6)));
        assertThat(estimate(NOW, SERVER)).isEqualTo(24);
        Instant later = NOW.plus(ServerEstimate.SERVER_REPORT_PRECEDENCE);
        exchange(later, digest(4, new BackendLoad(SERVER, 6)));
        assertThat(estimate(later, SERVER)).isEqualTo(6);
    }

    // Guards against servers that seem full because routers that switched to another control
    // instance are counted twice.
    @Test
    void doubleCountedRoutersAreScaledOut() {
        exchange(NOW, digest(2 * ROUTERS, 6, new BackendLoad(SERVER, 20)));
        assertThat(mLoads.mean(NOW, SERVICE)).isEqualTo(3);
        assertThat(estimate(NOW, SERVER)).isEqualTo(10);
    }

    // Guards against estimating a busy server at the mean because the digest has no room for it.
    @Test
    void truncatedDigestSaysNothingAboutUnlistedServers() {
        BackendLoad[] busy = new BackendLoad[LoadDigest.MAX_BUSY];
        Arrays.setAll(busy, i -> new BackendLoad(new BackendRef("s" + i, 1), 30));
        mLoads.onReportedLoad(NOW, SERVER, 25);
        exchange(NOW.plusMillis(500), digest(4, busy));
        assertThat(estimate(NOW, SERVER)).isEqualTo(25);
    }

    // Guards against treating a digest as new that was delayed in a suspended process.
    @Test
    void digestIsAsOldAsItsReport() {
        mLoads.report(NOW);
        receiveDigest(digest(4));
        assertThat(mLoads.hasRecentDigest(EXPIRED)).isFalse();
    }

    // Guards against negative loads after the clock is set back.
    @Test
    void clockSetBackDoesNotChangeTheLoad() {
        exchange(NOW, digest(4, new BackendLoad(SERVER, 12)));
        assertThat(estimate(NOW.minusSeconds(8), SERVER)).isEqualTo(12);
    }

    // Guards against treating the requests of a few routers as those of all.
    @Test
    void digestOfTooFewRoutersIsIgnored() {
        exchange(NOW, digest(ROUTERS / 2 - 1, 1, new BackendLoad(SERVER, 2)));
        assertThat(mLoads.hasRecentDigest(NOW)).isFalse();
        mLoads.onReportedLoad(NOW, SERVER, 12);
        exchange(NOW.plusMillis(500), digest(ROUTERS / 2 - 1, 1));
        assertThat(estimate(NOW.plusMillis(500), SERVER)).isEqualTo(12);
        exchange(NOW.plusMillis(600), digest(ROUTERS / 2, 2));
        assertThat(estimate(NOW.plusMillis(600), SERVER)).isEqualTo(2);
    }

    // Guards against using old means in a router that has lost the connection to control.
    @Test
    void onlyOwnRequestsCountWithoutControl() {
        exchange(NOW, digest(4, new BackendLoad(SERVER, 12)));
        assertThat(mLoads.requestsForPart(NOW, PART)).isEqualTo(5);
        assertThat(mLoads.hasRecentDigest(EXPIRED)).isFalse();
        assertThat(mLoads.mean(EXPIRED, SERVICE)).isNaN();
        assertThat(mLoads.requestsForPart(EXPIRED, PART)).isZero();
        assertThat(estimate(EXPIRED, SERVER)).isZero();
        mLoads.onReportedLoad(EXPIRED, SERVER, 6);
        assertThat(estimate(EXPIRED.plusSeconds(1), SERVER)).isEqualTo(6);
    }

    @Test
    void firstReportListsAllRequestsInFlight() {
        mLoads.onReportedLoad(NOW, FIRST_INCARNATION, 12);
        mLoads.onRequestSent(SERVER, PART);
        mLoads.onRequestSent(SERVER, PART);
        mLoads.onRequestSent(SERVER, 0);
        mLoads.onRequestEnded(SERVER, PART);
        assertThat(mLoads.report(NOW))
                .isEqualTo(report(true, List.of(load(SERVER, 2)), List.of(new PartLoad(PART, 1))));
    }

    // Guards against reporting hundreds of unchanged requests in each exchange.
    @Test
    void furtherReportsListChangesOnly() {
        mLoads.onRequestSent(SERVER, PART);
        mLoads.onRequestSent(FIRST_INCARNATION, 0);
        exchange(NOW, digest(4));
        assertThat(mLoads.report(NOW)).isEqualTo(report(false, List.of(), List.of()));
        mLoads.onRequestEnded(SERVER, PART);
        List<PartLoad> endedParts = List.of(new PartLoad(PART, 0));
        assertThat(mLoads.report(NOW))
                .isEqualTo(report(false, List.of(load(SERVER, 0)), endedParts));
        receiveDigest(digest(4));
        assertThat(mLoads.report(NOW)).isEqualTo(report(false, List.of(), List.of()));
    }

    // Guards against a control instance that never learns what was reported to its predecessor.
    @Test
    void fullReportsAreSentAfterALossAndRegularly() {
        mLoads.onRequestSent(SERVER, 0);
        exchange(NOW, digest(4));
        assertThat(mLoads.report(NOW).full()).isFalse();
        mLoads.requestFullReport();
        assertThat(mLoads.report(NOW)).isEqualTo(report(true, List.of(load(SERVER, 1)), List.of()));
        long fullReports = IntStream.range(0, 50).filter(i -> mLoads.report(NOW).full()).count();
        assertThat(fullReports).isBetween(3L, 6L);
    }

    private static LoadReport report(
            boolean full, List<BackendLoad> servers, List<PartLoad> parts) {
        return new LoadReport(full, servers, parts);
    }

    private static BackendLoad load(BackendRef ref, int requests) {
        return new BackendLoad(ref, requests);
    }
}
