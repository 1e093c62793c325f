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
class BelievedLoadsTest {
    private static final Instant NOW = Instant.EPOCH;
    private static final Instant HALF = NOW.plus(KnownLoad.BELIEVED_FOR.dividedBy(2));
    private static final Instant TOO_LATE = NOW.plus(KnownLoad.BELIEVED_FOR);
    private static final String SERVICE = "svc";
    private static final int ROUTERS = 10;
    private static final long PART = 77;
    private static final BackendRef FIRST = new BackendRef("w", 1000);
    private static final BackendRef SECOND = new BackendRef("w", 2000);
    private static final BackendRef OTHER = new BackendRef("v", 1);

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

    private void answer(LoadDigest digest) {
        mLoads.onDigest(digest, ROUTERS, ref -> SERVICE);
    }

    private void exchange(Instant now, LoadDigest digest) {
        mLoads.report(now);
        answer(digest);
    }

    private double load(Instant now, BackendRef ref) {
        return mLoads.of(now, SERVICE, ref).requests();
    }

    // A backend server that crashed under load and is back under its name got no request.
    @Test
    void aLaterStartDoesNotHaveTheLoadOfTheRunBefore() {
        mLoads.began(FIRST, 0);
        mLoads.heard(NOW, FIRST, 35);
        assertThat(load(NOW, SECOND)).isZero();
        mLoads.began(SECOND, 0);
        mLoads.ended(FIRST, 0);
        mLoads.heard(NOW, FIRST, 35);
        assertThat(load(NOW, SECOND)).isEqualTo(1);
    }

    // One of which a router knew nothing looked idle to it, and was chosen for that.
    @Test
    void whatIsNotKnownIsTakenForTheMeanAndNotForIdle() {
        exchange(NOW, digest(5));
        assertThat(load(NOW, OTHER)).isEqualTo(5);
    }

    // What a router sent to a backend server that control does not name did not count.
    @Test
    void whatWasSentSinceTheReportIsAddedToTheMeanToo() {
        mLoads.began(OTHER, 0);
        exchange(NOW, digest(5));
        assertThat(load(NOW, OTHER)).isEqualTo(5);
        mLoads.began(OTHER, 0);
        mLoads.began(OTHER, 0);
        assertThat(load(NOW, OTHER)).isEqualTo(7);
    }

    // What other routers sent to a backend server that answered nothing was not seen.
    @Test
    void whatOtherRoutersHaveCounts() {
        exchange(NOW, digest(4, new BackendLoad(OTHER, 12)));
        assertThat(load(NOW, OTHER)).isEqualTo(12);
        mLoads.began(OTHER, 0);
        assertThat(load(NOW, OTHER)).isEqualTo(13);
    }

    // What a router had reported, and had ended since, was counted on.
    @Test
    void ownRequestsThatEndedSinceTheReportAreTakenOff() {
        mLoads.began(OTHER, 0);
        mLoads.began(OTHER, 0);
        mLoads.report(NOW);
        mLoads.ended(OTHER, 0);
        answer(digest(4, new BackendLoad(OTHER, 12)));
        assertThat(load(NOW, OTHER)).isEqualTo(11);
    }

    // An old load was believed in full, and not at all a moment later.
    @Test
    void aLoadFadesIntoTheMeanAsItGetsOlder() {
        exchange(NOW, digest(4, new BackendLoad(OTHER, 12)));
        assertThat(load(HALF, OTHER)).isCloseTo(8, within(0.01));
        assertThat(mLoads.of(HALF, SERVICE, OTHER).ageMillis()).isEqualTo(1500);
    }

    // A backend server was left alone for seconds that had long had room again.
    @Test
    void oneThatIsNotBusyAnyMoreIsOrdinary() {
        exchange(NOW, digest(4, new BackendLoad(OTHER, 12)));
        exchange(NOW.plusMillis(300), digest(4));
        assertThat(load(NOW.plusMillis(300), OTHER)).isEqualTo(4);
    }

    // Control's answer took back what a backend server had told while it was under way.
    @Test
    void whatWasHeardAfterTheReportIsNotOvertakenByItsAnswer() {
        mLoads.report(NOW);
        mLoads.heard(NOW.plusMillis(10), OTHER, 12);
        answer(digest(4));
        assertThat(load(NOW.plusMillis(10), OTHER)).isEqualTo(12);
    }

    // A backend server's own word was overruled by a sum that lacks what others sent just now.
    @Test
    void whatABackendServerToldItselfGoesFirstForAMoment() {
        mLoads.heard(NOW, OTHER, 24);
        exchange(NOW.plusMillis(100), digest(4));
        assertThat(load(NOW, OTHER)).isEqualTo(24);
        exchange(NOW.plusMillis(399), digest(4, new BackendLoad(OTHER, 6)));
        assertThat(load(NOW, OTHER)).isEqualTo(24);
        Instant later = NOW.plus(KnownLoad.HEARD_FIRST_FOR);
        exchange(later, digest(4, new BackendLoad(OTHER, 6)));
        assertThat(load(later, OTHER)).isEqualTo(6);
    }

    // Routers that had gone to another control instance were counted twice, and servers looked
    // full.
    @Test
    void routersThatAreCountedTwiceAreTakenOut() {
        exchange(NOW, digest(2 * ROUTERS, 6, new BackendLoad(OTHER, 20)));
        assertThat(mLoads.mean(NOW, SERVICE)).isEqualTo(3);
        assertThat(load(NOW, OTHER)).isEqualTo(10);
    }

    // One that was cut from the list of busy ones was taken for an ordinary one.
    @Test
    void whereNotAllAreNamedNothingFollowsFromNotBeingNamed() {
        BackendLoad[] most = new BackendLoad[LoadDigest.MAX_BUSY];
        Arrays.setAll(most, i -> new BackendLoad(new BackendRef("s" + i, 1), 30));
        mLoads.heard(NOW, OTHER, 25);
        exchange(NOW.plusMillis(500), digest(4, most));
        assertThat(load(NOW, OTHER)).isEqualTo(25);
    }

    // An answer that had waited in a process that stood still was taken for new.
    @Test
    void anAnswerIsAsOldAsItsReport() {
        mLoads.report(NOW);
        answer(digest(4));
        assertThat(mLoads.hasRecentDigest(TOO_LATE)).isFalse();
    }

    // After the clock had been set back a load was below zero.
    @Test
    void aClockThatIsSetBackLeavesTheLoadAsItWas() {
        exchange(NOW, digest(4, new BackendLoad(OTHER, 12)));
        assertThat(load(NOW.minusSeconds(8), OTHER)).isEqualTo(12);
    }

    // Few routers' requests were taken for all.
    @Test
    void sumsOverFewRoutersAreNotUsed() {
        exchange(NOW, digest(ROUTERS / 2 - 1, 1, new BackendLoad(OTHER, 2)));
        assertThat(mLoads.hasRecentDigest(NOW)).isFalse();
        mLoads.heard(NOW, OTHER, 12);
        exchange(NOW.plusMillis(500), digest(ROUTERS / 2 - 1, 1));
        assertThat(load(NOW.plusMillis(500), OTHER)).isEqualTo(12);
        exchange(NOW.plusMillis(600), digest(ROUTERS / 2, 2));
        assertThat(load(NOW.plusMillis(600), OTHER)).isEqualTo(2);
    }

    // A router that is cut off from control took old means for present ones.
    @Test
    void withoutControlOnlyOwnCallsCount() {
        exchange(NOW, digest(4, new BackendLoad(OTHER, 12)));
        assertThat(mLoads.aboutPart(NOW, PART)).isEqualTo(5);
        assertThat(mLoads.hasRecentDigest(TOO_LATE)).isFalse();
        assertThat(mLoads.mean(TOO_LATE, SERVICE)).isNaN();
        assertThat(mLoads.aboutPart(TOO_LATE, PART)).isZero();
        assertThat(load(TOO_LATE, OTHER)).isZero();
        mLoads.heard(TOO_LATE, OTHER, 6);
        assertThat(load(TOO_LATE.plusSeconds(1), OTHER)).isEqualTo(6);
    }

    @Test
    void aFirstReportHasAllThatIsUnderWayAndNothingElse() {
        mLoads.heard(NOW, FIRST, 12);
        mLoads.began(OTHER, PART);
        mLoads.began(OTHER, PART);
        mLoads.began(OTHER, 0);
        mLoads.ended(OTHER, PART);
        assertThat(mLoads.report(NOW))
                .isEqualTo(report(true, List.of(at(OTHER, 2)), List.of(new PartLoad(PART, 1))));
    }

    // A router with hundreds of requests under way told all of them with each exchange.
    @Test
    void furtherReportsHaveWhatChanged() {
        mLoads.began(OTHER, PART);
        mLoads.began(FIRST, 0);
        exchange(NOW, digest(4));
        assertThat(mLoads.report(NOW)).isEqualTo(report(false, List.of(), List.of()));
        mLoads.ended(OTHER, PART);
        List<PartLoad> over = List.of(new PartLoad(PART, 0));
        assertThat(mLoads.report(NOW)).isEqualTo(report(false, List.of(at(OTHER, 0)), over));
        answer(digest(4));
        assertThat(mLoads.report(NOW)).isEqualTo(report(false, List.of(), List.of()));
    }

    // What a router had told an instance that was gone was never told to the next one.
    @Test
    void everythingIsToldWhereAReportWasNotTakenAndOnceInAWhile() {
        mLoads.began(OTHER, 0);
        exchange(NOW, digest(4));
        assertThat(mLoads.report(NOW).full()).isFalse();
        mLoads.requestFullReport();
        assertThat(mLoads.report(NOW)).isEqualTo(report(true, List.of(at(OTHER, 1)), List.of()));
        long whole = IntStream.range(0, 50).filter(i -> mLoads.report(NOW).full()).count();
        assertThat(whole).isBetween(3L, 6L);
    }

    private static LoadReport report(
            boolean whole, List<BackendLoad> servers, List<PartLoad> parts) {
        return new LoadReport(whole, servers, parts);
    }

    private static BackendLoad at(BackendRef ref, int requests) {
        return new BackendLoad(ref, requests);
    }
}
