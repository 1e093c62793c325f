package org.laurelweir.contention;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;
import org.laurelweir.sums.ReportSources;

/** Tests how control instances add up the demand of the routers. */
class ContentionTableTest {
    private static final Instant NOW = Instant.EPOCH;
    private static final Duration INTERVAL = Duration.ofMillis(300);
    private static final Duration ROUTER_TIMEOUT = INTERVAL.multipliedBy(5);
    private static final int SERVERS = 3_800;
    private static final int ACCOUNTS = 19_000;

    private final ContentionTable mTable = new ContentionTable(INTERVAL);
    private final ContentionTable mPeer = new ContentionTable(INTERVAL);

    private static BackendRef ref(int number) {
        return new BackendRef("s" + number, 1);
    }

    private static ServerDemand server(int number, long tokens) {
        return new ServerDemand(ref(number), tokens, 0, 0);
    }

    private static ContentionReport report(boolean full, ServerDemand... servers) {
        List<AccountDemand> accounts =
                Stream.of(servers).map(s -> new AccountDemand("acme", s.tokens())).toList();
        return new ContentionReport(full, List.of(servers), accounts);
    }

    private static List<Backend> backends(int count) {
        return IntStream.range(0, count)
                .mapToObj(
                        i ->
                                new Backend(
                                        ref(i), "svc", "dc", "rg", "", Backend.State.SERVING, 1, 1))
                .toList();
    }

    private ContentionDigest digest() {
        return mTable.digest(backends(2));
    }

    private void sendPeerSums(Instant now, boolean full) {
        mTable.onPeerSums(now, "c1", mPeer.localRouters(), full, mPeer.takePeerSums(full));
    }

    // Guards against routers that know their own requests only.
    @Test
    void demandIsAddedUpOverRoutersAndPeers() {
        mTable.onRouterReport(NOW, "r1", report(true, server(0, 200)));
        mTable.onRouterReport(NOW, "r2", report(true, server(0, 100)));
        mPeer.onRouterReport(NOW, "r3", report(true, server(0, 40)));
        sendPeerSums(NOW, true);
        ContentionDigest digest = digest();
        assertThat(digest.routers()).isEqualTo(3);
        assertThat(digest.means()).containsExactly(new MeanDemand("svc", 170));
        assertThat(digest.servers()).containsExactly(server(0, 340));
        assertThat(digest.accounts()).containsExactly(new AccountDemand("acme", 340));
        assertThat(digest.accountTokens()).isEqualTo(340);
        assertThat(digest.accountCount()).isEqualTo(1);
    }

    // Guards against tokens of a dead router that keep room from the others.
    @Test
    void deadRouterLeavesAfterFiveIntervals() {
        mTable.onRouterReport(NOW, "r1", report(true, server(0, 200)));
        mTable.expire(NOW.plus(ROUTER_TIMEOUT).minusMillis(1));
        assertThat(digest().accountTokens()).isEqualTo(200);
        mTable.expire(NOW.plus(ROUTER_TIMEOUT));
        assertThat(mTable.size()).isZero();
        assertThat(digest().routers()).isZero();
        assertThat(mTable.onRouterReport(NOW, "r1", report(false, server(0, 1)))).isFalse();
    }

    // Guards against tokens of a router's earlier run, when it has had no demand since its restart.
    @Test
    void restartedRouterWithoutDemandHasNone() {
        mTable.onRouterReport(NOW, "r1", report(true, server(0, 200)));
        assertThat(mTable.onRouterReport(NOW, "r1", ContentionReport.NONE)).isTrue();
        assertThat(mTable.size()).isZero();
        assertThat(digest().routers()).isEqualTo(1);
    }

    // Guards against messages of control instances in deployments that are not contended.
    @Test
    void nothingIsSentToPeersWithoutDemand() {
        mTable.onRouterReport(NOW, "r1", ContentionReport.NONE);
        assertThat(mTable.takePeerSums(true)).isEqualTo(ContentionReport.NONE);
        assertThat(mTable.takePeerSums(false)).isEqualTo(ContentionReport.NONE);
    }

    // Guards against wrong sums after a lost message of a peer.
    @Test
    void nextFullMessageRepairsALostOne() {
        mPeer.onRouterReport(NOW, "r1", report(true, server(0, 40)));
        sendPeerSums(NOW, true);
        mPeer.onRouterReport(NOW, "r1", report(false, server(0, 70)));
        assertThat(mPeer.takePeerSums(false).servers()).containsExactly(server(0, 70));
        assertThat(digest().accountTokens()).isEqualTo(40);
        sendPeerSums(NOW, true);
        assertThat(digest().accountTokens()).isEqualTo(70);
    }

    // Guards against tokens that stay because the message that a peer's router has none was lost.
    @Test
    void sumThatAPeerDoesNotRepeatExpires() {
        mPeer.onRouterReport(NOW, "r1", report(true, server(0, 40)));
        sendPeerSums(NOW, true);
        mPeer.onRouterReport(NOW, "r1", report(false, server(0, 0)));
        mPeer.takePeerSums(false);
        Instant end = NOW.plus(ReportSources.PEER_SUM_TIMEOUT);
        for (Instant t = NOW; t.isBefore(end); t = t.plusMillis(500)) {
            sendPeerSums(t, true);
            mTable.expire(t);
        }
        assertThat(digest().accountTokens()).isEqualTo(40);
        sendPeerSums(end, true);
        mTable.expire(end);
        assertThat(mTable.size()).isZero();
        assertThat(digest().routers()).isEqualTo(1);
    }

    // Guards against the sums of a silent control instance beside those of the routers that left
    // it.
    @Test
    void silentPeerExpires() {
        mPeer.onRouterReport(NOW, "r1", report(true, server(0, 40)));
        sendPeerSums(NOW, true);
        mTable.expire(NOW.plus(ReportSources.PEER_TIMEOUT));
        assertThat(mTable.size()).isZero();
        assertThat(digest().routers()).isZero();
    }

    // Guards against numbers of an ended incarnation in the digest, or in memory for good.
    @Test
    void endedIncarnationIsNotListedAndLeaves() {
        ServerDemand ended = new ServerDemand(new BackendRef("s0", 0), 500, 9, 9);
        mTable.onRouterReport(NOW, "r1", report(true, ended, server(1, 10)));
        assertThat(digest().servers()).containsExactly(server(1, 10));
        assertThat(digest().means()).containsExactly(new MeanDemand("svc", 5));
        mTable.onRouterReport(
                NOW, "r1", report(false, new ServerDemand(ended.server(), 0, 0, 0), server(1, 0)));
        assertThat(mTable.size()).isZero();
    }

    // Guards against taking a full server for one at the mean, since control has just started and
    // not yet received its announcement.
    @Test
    void serverThatIsNotInTheMembershipIsListed() {
        mTable.onRouterReport(NOW, "r1", report(true, server(0, 10), server(5, 900)));
        assertThat(digest().servers()).containsExactlyInAnyOrder(server(0, 10), server(5, 900));
        assertThat(digest().means()).containsExactly(new MeanDemand("svc", 5));
    }

    // Guards against digests that grow with the fleet, or hide failing servers behind full ones.
    @Test
    void digestOfALargeFleetIsBounded() {
        List<ServerDemand> servers =
                IntStream.range(0, SERVERS)
                        .mapToObj(i -> new ServerDemand(ref(i), i, 20, i < 200 ? 2 + i / 100 : 1))
                        .toList();
        List<AccountDemand> accounts =
                IntStream.range(0, ACCOUNTS)
                        .mapToObj(i -> new AccountDemand("a" + i, i + 1))
                        .toList();
        mTable.onRouterReport(NOW, "r1", new ContentionReport(true, servers, accounts));
        ContentionDigest digest = mTable.digest(backends(SERVERS));
        assertThat(digest.servers()).hasSize(ContentionDigest.MAX_SERVERS);
        assertThat(digest.servers().stream().filter(s -> s.failed() == 3))
                .hasSize(ContentionDigest.MAX_SERVERS / 2);
        assertThat(digest.servers()).contains(servers.get(SERVERS - 1));
        assertThat(digest.accounts()).hasSize(ContentionDigest.MAX_ACCOUNTS);
        assertThat(digest.accounts())
                .allMatch(a -> a.tokens() > ACCOUNTS - ContentionDigest.MAX_ACCOUNTS);
        assertThat(digest.accountCount()).isEqualTo(ACCOUNTS);
        assertThat(digest.accountTokens()).isEqualTo((long) ACCOUNTS * (ACCOUNTS + 1) / 2);
    }

    // Guards against a digest from before the report that it answers: the router would subtract
    // demand that is not included.
    @Test
    void refreshedDigestHasTheCurrentNumbers() {
        mTable.onRouterReport(NOW, "r1", report(true, server(0, 200)));
        ContentionDigest digest = digest();
        mTable.onRouterReport(NOW, "r1", report(false, server(0, 300)));
        assertThat(mTable.refreshed(digest).servers()).containsExactly(server(0, 300));
        assertThat(mTable.refreshed(digest).accounts())
                .containsExactly(new AccountDemand("acme", 300));
    }
}
