package org.laurelweir.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.laurelweir.lib.BackendRef;

/** What a router believes of backend servers that it seldom calls. */
class LoadEstimatorTest {
    private static final Instant NOW = Instant.EPOCH;
    private static final Instant HALF_FADED = NOW.plus(ServerEstimate.MAX_AGE.dividedBy(2));
    private static final Instant EXPIRED = NOW.plus(ServerEstimate.MAX_AGE);
    private static final String SERVICE = "svc";
    private static final int ROUTERS = 10;
    private static final long PART = 77;
    private static final BackendRef FIRST_RUN = new BackendRef("w", 1000);
    private static final BackendRef SECOND_RUN = new BackendRef("w", 2000);
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

    // A backend server that crashed under load and is back under its name got no request.
    @Test
    void restartedServerDoesNotInheritTheLoad() {
        mLoads.onRequestSent(FIRST_RUN, 0);
        mLoads.onReportedLoad(NOW, FIRST_RUN, 35);
        assertThat(estimate(NOW, SECOND_RUN)).isZero();
        mLoads.onRequestSent(SECOND_RUN, 0);
        mLoads.onRequestEnded(FIRST_RUN, 0);
        mLoads.onReportedLoad(NOW, FIRST_RUN, 35);
        assertThat(estimate(NOW, SECOND_RUN)).isEqualTo(1);
    }

    // One of which a router knew nothing looked idle to it, and was chosen for that.
    @Test
    void unknownLoadIsEstimatedAsTheMean() {
        exchange(NOW, digest(5));
        assertThat(estimate(NOW, SERVER)).isEqualTo(5);
    }

    // What a router sent to a backend server that control does not name did not count.
    @Test
    void requestsSentSinceTheReportAreAddedToTheMean() {
        mLoads.onRequestSent(SERVER, 0);
        exchange(NOW, digest(5));
        assertThat(estimate(NOW, SERVER)).isEqualTo(5);
        mLoads.onRequestSent(SERVER, 0);
        mLoads.onRequestSent(SERVER, 0);
        assertThat(estimate(NOW, SERVER)).isEqualTo(7);
    }

    // What other routers sent to a backend server that answered nothing was not seen.
    @Test
    void requestsOfOtherRoutersCount() {
        exchange(NOW, digest(4, new BackendLoad(SERVER, 12)));
        assertThat(estimate(NOW, SERVER)).isEqualTo(12);
        mLoads.onRequestSent(SERVER, 0);
        assertThat(estimate(NOW, SERVER)).isEqualTo(13);
    }

    // What a router had reported, and had ended since, was counted on.
    @Test
    void requestsEndedSinceTheReportAreSubtracted() {
        mLoads.onRequestSent(SERVER, 0);
        mLoads.onRequestSent(SERVER, 0);
        mLoads.report(NOW);
        mLoads.onRequestEnded(SERVER, 0);
        receiveDigest(digest(4, new BackendLoad(SERVER, 12)));
        assertThat(estimate(NOW, SERVER)).isEqualTo(11);
    }

    // An old load was believed in full, and not at all a moment later.
    @Test
    void loadFadesIntoTheMean() {
        exchange(NOW, digest(4, new BackendLoad(SERVER, 12)));
        assertThat(estimate(HALF_FADED, SERVER)).isCloseTo(8, within(0.01));
        assertThat(mLoads.estimate(HALF_FADED, SERVICE, SERVER).ageMillis()).isEqualTo(1500);
    }

    // A backend server was left alone for seconds that had long had room again.
    @Test
    void serverThatIsNotListedAsBusyHasTheMean() {
        exchange(NOW, digest(4, new BackendLoad(SERVER, 12)));
        exchange(NOW.plusMillis(300), digest(4));
        assertThat(estimate(NOW.plusMillis(300), SERVER)).isEqualTo(4);
    }

    // Control's answer took back what a backend server had told while it was under way.
    @Test
    void serverReportPrevailsOverADigestOfAnEarlierReport() {
        mLoads.report(NOW);
        mLoads.onReportedLoad(NOW.plusMillis(10), SERVER, 12);
        receiveDigest(digest(4));
        assertThat(estimate(NOW.plusMillis(10), SERVER)).isEqualTo(12);
    }

    // A backend server's own word was overruled by a sum that lacks what others sent just now.
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

    // Routers that had gone to another control instance were counted twice, and servers looked
    // full.
    @Test
    void doubleCountedRoutersAreScaledOut() {
        exchange(NOW, digest(2 * ROUTERS, 6, new BackendLoad(SERVER, 20)));
        assertThat(mLoads.mean(NOW, SERVICE)).isEqualTo(3);
        assertThat(estimate(NOW, SERVER)).isEqualTo(10);
    }

    // One that was cut from the list of busy ones was taken for an ordinary one.
    @Test
    void truncatedDigestSaysNothingAboutUnlistedServers() {
        BackendLoad[] most = new BackendLoad[LoadDigest.MAX_BUSY];
        Arrays.setAll(most, i -> new BackendLoad(new BackendRef("s" + i, 1), 30));
        mLoads.onReportedLoad(NOW, SERVER, 25);
        exchange(NOW.plusMillis(500), digest(4, most));
        assertThat(estimate(NOW, SERVER)).isEqualTo(25);
    }

    // An answer that had waited in a process that stood still was taken for new.
    @Test
    void digestIsAsOldAsItsReport() {
        mLoads.report(NOW);
        receiveDigest(digest(4));
        assertThat(mLoads.hasRecentDigest(EXPIRED)).isFalse();
    }

    // After the clock had been set back a load was below zero.
    @Test
    void clockSetBackDoesNotChangeTheLoad() {
        exchange(NOW, digest(4, new BackendLoad(SERVER, 12)));
        assertThat(estimate(NOW.minusSeconds(8), SERVER)).isEqualTo(12);
    }

    // Few routers' requests were taken for all.
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

    // A router that is cut off from control took old means for present ones.
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
        mLoads.onReportedLoad(NOW, FIRST_RUN, 12);
        mLoads.onRequestSent(SERVER, PART);
        mLoads.onRequestSent(SERVER, PART);
        mLoads.onRequestSent(SERVER, 0);
        mLoads.onRequestEnded(SERVER, PART);
        assertThat(mLoads.report(NOW))
                .isEqualTo(report(true, List.of(load(SERVER, 2)), List.of(new PartLoad(PART, 1))));
    }

    // A router with hundreds of requests under way told all of them with each exchange.
    @Test
    void furtherReportsListChangesOnly() {
        mLoads.onRequestSent(SERVER, PART);
        mLoads.onRequestSent(FIRST_RUN, 0);
        exchange(NOW, digest(4));
        assertThat(mLoads.report(NOW)).isEqualTo(report(false, List.of(), List.of()));
        mLoads.onRequestEnded(SERVER, PART);
        List<PartLoad> over = List.of(new PartLoad(PART, 0));
        assertThat(mLoads.report(NOW)).isEqualTo(report(false, List.of(load(SERVER, 0)), over));
        receiveDigest(digest(4));
        assertThat(mLoads.report(NOW)).isEqualTo(report(false, List.of(), List.of()));
    }

    // What a router had told an instance that was gone was never told to the next one.
    @Test
    void fullReportsAreSentAfterALossAndRegularly() {
        mLoads.onRequestSent(SERVER, 0);
        exchange(NOW, digest(4));
        assertThat(mLoads.report(NOW).full()).isFalse();
        mLoads.requestFullReport();
        assertThat(mLoads.report(NOW)).isEqualTo(report(true, List.of(load(SERVER, 1)), List.of()));
        long whole = IntStream.range(0, 50).filter(i -> mLoads.report(NOW).full()).count();
        assertThat(whole).isBetween(3L, 6L);
    }

    private static LoadReport report(
            boolean whole, List<BackendLoad> servers, List<PartLoad> parts) {
        return new LoadReport(whole, servers, parts);
    }

    private static BackendLoad load(BackendRef ref, int requests) {
        return new BackendLoad(ref, requests);
    }
}
