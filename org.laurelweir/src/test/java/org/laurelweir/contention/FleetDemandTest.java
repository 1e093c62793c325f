package org.laurelweir.contention;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Instant;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.laurelweir.lib.BackendRef;

/** Tests what a router knows of the demand of all routers, and what it reports. */
class FleetDemandTest {
    private static final Instant NOW = Instant.ofEpochSecond(1_000);
    private static final Instant HALF_EXPIRED = NOW.plus(FleetDemand.MAX_AGE.dividedBy(2));
    private static final Instant EXPIRED = NOW.plus(FleetDemand.MAX_AGE);
    private static final String SERVICE = "svc";
    private static final String ACCOUNT = "acme";
    private static final int ROUTERS = 10;
    private static final BackendRef SERVER = new BackendRef("w", 1);
    private static final BackendRef RESTARTED = new BackendRef("w", 2);

    private static final ContentionDigest ALL_LISTED =
            new ContentionDigest(
                    ROUTERS,
                    List.of(new MeanDemand(SERVICE, 400)),
                    List.of(),
                    List.of(new AccountDemand(ACCOUNT, 900)),
                    900,
                    1);

    private final FleetDemand mDemand = new FleetDemand();

    private static ServerDemand server(long tokens) {
        return new ServerDemand(SERVER, tokens, 0, 0);
    }

    private static ContentionDigest digest(int routers, double mean, ServerDemand... servers) {
        return new ContentionDigest(
                routers,
                List.of(new MeanDemand(SERVICE, mean)),
                List.of(servers),
                List.of(new AccountDemand(ACCOUNT, 900)),
                1_000,
                2);
    }

    private static ContentionDigest digest(double mean, ServerDemand... servers) {
        return digest(ROUTERS, mean, servers);
    }

    private ContentionReport exchange(Instant now, ContentionDigest digest) {
        ContentionReport report = mDemand.report(now);
        mDemand.onDigest(digest, ROUTERS);
        return report;
    }

    private double tokens(Instant now) {
        return mDemand.tokens(now, SERVICE, SERVER);
    }

    private void addOutcomes(Instant now, int ended, int failed) {
        IntStream.range(0, ended).forEach(i -> mDemand.onOutcome(now, SERVER, i < failed));
    }

    // Guards against sending reports in deployments that are not contended.
    @Test
    void routerWithoutDemandReportsNone() {
        for (int i = 0; i < 30; i++) {
            assertThat(exchange(NOW.plusMillis(300 * i), ContentionDigest.NONE))
                    .isEqualTo(ContentionReport.NONE);
        }
    }

    // Guards against a contended router that control takes for one without demand, and does not
    // answer, since nothing has changed.
    @Test
    void idleRouterReportsThatItHasNoDemandNow() {
        mDemand.onSent(NOW, SERVER, ACCOUNT, 100);
        exchange(NOW, digest(50));
        mDemand.onReleased(NOW, SERVER, ACCOUNT, 100);
        assertThat(exchange(NOW, digest(50)))
                .isEqualTo(
                        new ContentionReport(
                                false, List.of(server(0)), List.of(new AccountDemand(ACCOUNT, 0))));
        assertThat(exchange(NOW, digest(50)))
                .isEqualTo(new ContentionReport(true, List.of(), List.of()));
    }

    // Guards against values that control never gets, since the report with them was lost.
    @Test
    void reportRepeatsWhatIsNotAcknowledged() {
        mDemand.onSent(NOW, SERVER, ACCOUNT, 100);
        assertThat(exchange(NOW, digest(50)).full()).isTrue();
        mDemand.onSent(NOW, SERVER, ACCOUNT, 20);
        List<ServerDemand> changed = List.of(server(120));
        assertThat(mDemand.report(NOW).servers()).isEqualTo(changed);
        mDemand.requestFullReport();
        assertThat(mDemand.report(NOW).full()).isTrue();
        assertThat(mDemand.report(NOW).servers()).isEqualTo(changed);
        mDemand.onDigest(digest(50), ROUTERS);
        assertThat(mDemand.report(NOW).full()).isTrue();
        mDemand.onReleased(NOW, SERVER, ACCOUNT, 100);
        assertThat(exchange(NOW, digest(50)).servers()).containsExactly(server(20));
    }

    // Guards against sums without this router for seconds, after control dropped it as silent.
    @Test
    void reportThatControlCouldNotApplyIsFollowedByAFullOne() {
        mDemand.onSent(NOW, SERVER, ACCOUNT, 100);
        exchange(NOW, digest(50));
        mDemand.onSent(NOW, SERVER, ACCOUNT, 20);
        assertThat(exchange(NOW, ContentionDigest.NONE).full()).isFalse();
        assertThat(mDemand.report(NOW).full()).isTrue();
    }

    // Guards against a lost report that leaves wrong sums at control until the values change again.
    @Test
    void fullReportsRepeat() {
        mDemand.onSent(NOW, SERVER, ACCOUNT, 100);
        long full =
                IntStream.range(0, 33)
                        .filter(
                                i -> {
                                    mDemand.onSent(NOW, SERVER, ACCOUNT, 1);
                                    return exchange(NOW, digest(50)).full();
                                })
                        .count();
        assertThat(full).isEqualTo(3);
    }

    // Guards against taking a server for idle that other routers fill.
    @Test
    void tokensOfOtherRoutersCount() {
        mDemand.onSent(NOW, SERVER, ACCOUNT, 100);
        exchange(NOW, digest(400, server(1_200)));
        assertThat(tokens(NOW)).isEqualTo(1_200);
        mDemand.onSent(NOW, SERVER, ACCOUNT, 50);
        mDemand.report(NOW.plusMillis(300));
        assertThat(tokens(NOW)).isEqualTo(1_250);
        mDemand.onReleased(NOW, SERVER, ACCOUNT, 150);
        assertThat(tokens(NOW)).isEqualTo(1_100);
    }

    // Guards against taking a server for idle of which nothing is known, also while control is
    // silent and the router goes on sending requests.
    @Test
    void unlistedServerHoldsTheMeanAndWhatWasSentSince() {
        exchange(NOW, digest(400));
        assertThat(tokens(NOW)).isEqualTo(400);
        mDemand.onSent(NOW, SERVER, ACCOUNT, 100);
        mDemand.report(NOW.plusMillis(300));
        assertThat(tokens(NOW.plusMillis(300))).isEqualTo(500);
    }

    // Guards against sums that count in full until they expire, or for longer.
    @Test
    void sumsFadeIntoTheMeanAndThenOwnNumbersCount() {
        mDemand.onSent(NOW, SERVER, ACCOUNT, 100);
        exchange(NOW, digest(400, server(1_200)));
        assertThat(mDemand.ageMillis(HALF_EXPIRED)).isEqualTo(1_500);
        assertThat(tokens(HALF_EXPIRED)).isCloseTo(800, within(0.01));
        assertThat(mDemand.accountTokens(HALF_EXPIRED, ACCOUNT)).isCloseTo(700, within(0.01));
        assertThat(mDemand.ageMillis(EXPIRED)).isNaN();
        assertThat(tokens(EXPIRED)).isEqualTo(100);
        assertThat(mDemand.accountTokens(EXPIRED, ACCOUNT)).isEqualTo(100);
        assertThat(mDemand.meanAccountTokens(EXPIRED)).isEqualTo(100);
    }

    // Guards against a digest that is used for an hour, since the clock was set back by as much.
    @Test
    void digestIsDroppedWhenTheClockIsSetBack() {
        exchange(NOW, digest(400, server(1_200)));
        Instant before = NOW.minusSeconds(3_600);
        mDemand.report(before);
        assertThat(mDemand.ageMillis(before)).isNaN();
        assertThat(tokens(before)).isZero();
        mDemand.onDigest(digest(400, server(1_200)), ROUTERS);
        assertThat(tokens(before)).isEqualTo(1_200);
    }

    // Guards against a late answer that counts as new.
    @Test
    void digestIsAsOldAsItsReport() {
        mDemand.onSent(NOW, SERVER, ACCOUNT, 100);
        mDemand.report(NOW);
        mDemand.onDigest(digest(400, server(1_200)), ROUTERS);
        assertThat(mDemand.ageMillis(NOW.plusMillis(700))).isEqualTo(700);
        assertThat(mDemand.hasRecentDigest(EXPIRED)).isFalse();
    }

    // Guards against taking the sum of a few routers for that of all, after control restarted.
    @Test
    void digestOfFewerThanHalfOfTheRoutersIsIgnored() {
        exchange(NOW, digest(400, server(1_200)));
        exchange(NOW.plusMillis(300), digest(ROUTERS / 2 - 1, 10));
        assertThat(mDemand.ageMillis(NOW.plusMillis(300))).isEqualTo(300);
        assertThat(tokens(NOW)).isEqualTo(1_200);
        exchange(NOW.plusMillis(600), digest(ROUTERS / 2, 200));
        assertThat(mDemand.ageMillis(NOW.plusMillis(600))).isZero();
        assertThat(tokens(NOW.plusMillis(600))).isEqualTo(200);
    }

    // Guards against refusing requests because routers that changed to another control instance
    // are counted twice.
    @Test
    void routersCountedTwiceAreScaledDown() {
        exchange(NOW, digest(2 * ROUTERS, 400, server(1_200)));
        assertThat(tokens(NOW)).isEqualTo(600);
        assertThat(mDemand.tokens(NOW, SERVICE, RESTARTED)).isEqualTo(200);
        assertThat(mDemand.accountTokens(NOW, ACCOUNT)).isEqualTo(450);
        assertThat(mDemand.meanAccountTokens(NOW)).isEqualTo(250);
    }

    // Guards against a server that gets no request after its restart, for what it did before.
    @Test
    void restartedServerInheritsNothing() {
        mDemand.onSent(NOW, SERVER, ACCOUNT, 5_000);
        addOutcomes(NOW, 20, 20);
        exchange(NOW, digest(400, new ServerDemand(SERVER, 9_000, 40, 40)));
        assertThat(mDemand.failureRate(NOW, SERVER)).isEqualTo(1);
        assertThat(mDemand.tokens(NOW, SERVICE, RESTARTED)).isEqualTo(400);
        assertThat(mDemand.failureRate(NOW, RESTARTED)).isZero();
        mDemand.onReleased(NOW, SERVER, ACCOUNT, 5_000);
        Instant later = NOW.plusMillis(OutcomeWindow.WINDOW_MILLIS);
        assertThat(exchange(later, digest(400)).servers())
                .containsExactly(new ServerDemand(SERVER, 0, 0, 0));
        assertThat(exchange(later, digest(400)).servers()).isEmpty();
    }

    // Guards against avoiding a server for failures of long ago, and against judging it by a few.
    @Test
    void failureRateIsOfTheLastSeconds() {
        addOutcomes(NOW, ServerDemand.MIN_ENDED - 1, 1);
        assertThat(mDemand.failureRate(NOW, SERVER)).isZero();
        addOutcomes(NOW.plusMillis(2_000), 1, 0);
        assertThat(mDemand.failureRate(NOW.plusMillis(2_000), SERVER)).isEqualTo(0.2);
        addOutcomes(NOW.plusMillis(2_000), 5, 0);
        assertThat(mDemand.failureRate(NOW.plusMillis(4_000), SERVER)).isZero();
        assertThat(mDemand.failureRate(NOW.minusSeconds(60), SERVER)).isZero();
    }

    // Guards against missing a failing server of which this router's few requests say nothing, and
    // against counting this router's outcomes twice.
    @Test
    void failuresAtOtherRoutersCount() {
        addOutcomes(NOW, 2, 1);
        exchange(NOW, digest(400, new ServerDemand(SERVER, 500, 20, 9)));
        assertThat(mDemand.failureRate(NOW, SERVER)).isCloseTo(0.45, within(0.001));
        addOutcomes(NOW, 2, 2);
        assertThat(mDemand.failureRate(NOW, SERVER)).isCloseTo(0.5, within(0.001));
    }

    // Guards against one router's few samples outweighing what all routers have seen.
    @Test
    void unlistedServerFailsSeldom() {
        addOutcomes(NOW, 5, 1);
        exchange(NOW, digest(400));
        assertThat(mDemand.failureRate(NOW, SERVER)).isEqualTo(ServerDemand.NOTABLE_FAILURE_RATE);
        addOutcomes(NOW, 5, 5);
        assertThat(mDemand.failureRate(NOW, SERVER)).isCloseTo(0.6, within(0.001));
    }

    // Guards against limiting an account that has less than each of those listed.
    @Test
    void unlistedAccountHasAtMostTheSmallestListed() {
        List<AccountDemand> accounts =
                IntStream.range(0, ContentionDigest.MAX_ACCOUNTS)
                        .mapToObj(i -> new AccountDemand("a" + i, 100 + i))
                        .toList();
        long listed = accounts.stream().mapToLong(AccountDemand::tokens).sum();
        List<MeanDemand> means = List.of(new MeanDemand(SERVICE, 400));
        int count = accounts.size() + 10;
        exchange(
                NOW,
                new ContentionDigest(ROUTERS, means, List.of(), accounts, listed + 300, count));
        assertThat(mDemand.accountTokens(NOW, "small")).isEqualTo(30);
        exchange(
                NOW,
                new ContentionDigest(ROUTERS, means, List.of(), accounts, listed + 9_000, count));
        assertThat(mDemand.accountTokens(NOW, "small")).isEqualTo(100);
        assertThat(mDemand.accountTokens(EXPIRED, "small")).isZero();
    }

    // Guards against taking the mean of the accounts for the tokens of an account without any.
    @Test
    void accountsAreKnownToHaveNothingElseIfAllAreListed() {
        exchange(NOW, digest(400));
        assertThat(mDemand.accountTokens(NOW, ACCOUNT)).isEqualTo(900);
        assertThat(mDemand.accountTokens(NOW, "other")).isEqualTo(100);
        exchange(NOW, ALL_LISTED);
        assertThat(mDemand.accountTokens(NOW, "other")).isZero();
        exchange(NOW, digest(400));
        assertThat(mDemand.meanAccountTokens(NOW)).isEqualTo(500);
    }

    // Guards against negative numbers of what is released twice.
    @Test
    void numbersAreNeverNegative() {
        mDemand.onReleased(NOW, SERVER, ACCOUNT, 100);
        assertThat(tokens(NOW)).isZero();
        assertThat(mDemand.accountTokens(NOW, ACCOUNT)).isZero();
        assertThat(mDemand.meanAccountTokens(NOW)).isZero();
        assertThat(mDemand.report(NOW).servers()).isEmpty();
    }
}
