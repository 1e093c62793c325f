package org.laurelweir.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;

/** Tests how control instances add up the requests in flight of the routers. */
class LoadTableTest {
    private static final Instant NOW = Instant.EPOCH;
    private static final Duration INTERVAL = Duration.ofMillis(300);
    private static final Duration ROUTER_TIMEOUT = INTERVAL.multipliedBy(5);
    private static final LoadReport NO_CHANGES = incrementalReport();
    private static final BackendRef FIRST = ref(1);
    private static final BackendRef SECOND = ref(2);

    private final LoadTable mTable = new LoadTable("c0", INTERVAL);
    private final LoadTable mPeer = new LoadTable("c1", INTERVAL);

    private static BackendRef ref(int number) {
        return new BackendRef("s" + number, 1);
    }

    private static Backend backend(BackendRef ref, Backend.State state) {
        return new Backend(ref, "svc", "dc", "rg", "", state, 1, 1);
    }

    private static LoadReport fullReport(BackendLoad... servers) {
        return new LoadReport(true, List.of(servers), List.of());
    }

    private static LoadReport incrementalReport(BackendLoad... servers) {
        return new LoadReport(false, List.of(servers), List.of());
    }

    private static LoadReport reportOfPart(long part, int requests) {
        return new LoadReport(true, List.of(), List.of(new PartLoad(part, requests)));
    }

    private static LoadDigest digest(LoadTable table) {
        return table.digest(
                List.of(
                        backend(FIRST, Backend.State.SERVING),
                        backend(SECOND, Backend.State.SERVING)));
    }

    private void sendPeerUpdate(Instant now) {
        mTable.onPeerLoads(now, mPeer.takePeerUpdate(now));
    }

    // Guards against routers that know their own few requests only, and not the sum.
    @Test
    void loadsAreSummedOverRoutersAndPeers() {
        mTable.onRouterReport(NOW, "r1", fullReport(new BackendLoad(FIRST, 2)));
        mTable.onRouterReport(NOW, "r2", fullReport(new BackendLoad(FIRST, 1)));
        mPeer.onRouterReport(
                NOW, "r3", fullReport(new BackendLoad(FIRST, 4), new BackendLoad(SECOND, 1)));
        sendPeerUpdate(NOW);
        LoadDigest digest = digest(mTable);
        assertThat(digest.routers()).isEqualTo(3);
        assertThat(digest.means()).containsExactly(new MeanLoad("svc", 4));
        assertThat(digest.busy()).containsExactly(new BackendLoad(FIRST, 7));
        assertThat(mTable.requests()).isEqualTo(8);
    }

    // Guards against adding the loads of a full report to those of the earlier one.
    @Test
    void fullReportReplacesTheEarlierOne() {
        mPeer.onRouterReport(
                NOW, "r1", fullReport(new BackendLoad(FIRST, 4), new BackendLoad(SECOND, 1)));
        sendPeerUpdate(NOW);
        mPeer.onRouterReport(NOW, "r1", fullReport(new BackendLoad(SECOND, 3)));
        sendPeerUpdate(NOW.plusMillis(100));
        assertThat(mPeer.requests()).isEqualTo(3);
        assertThat(mTable.requests()).isEqualTo(3);
        assertThat(digest(mTable).busy()).containsExactly(new BackendLoad(SECOND, 3));
    }

    // Incremental reports save a router from reporting all requests in each exchange.
    @Test
    void incrementalReportUpdatesTheListedServers() {
        mTable.onRouterReport(
                NOW, "r1", fullReport(new BackendLoad(FIRST, 4), new BackendLoad(SECOND, 1)));
        mTable.onRouterReport(NOW, "r1", incrementalReport(new BackendLoad(FIRST, 6)));
        assertThat(mTable.requests()).isEqualTo(7);
        mTable.onRouterReport(NOW, "r1", incrementalReport(new BackendLoad(SECOND, 0)));
        assertThat(mTable.requests()).isEqualTo(6);
    }

    // Guards against treating an incremental report as the whole load of a router.
    @Test
    void incrementalReportOfAnUnknownRouterIsIgnored() {
        mTable.onRouterReport(NOW, "r1", incrementalReport(new BackendLoad(FIRST, 6)));
        assertThat(mTable.requests()).isZero();
        assertThat(mTable.routers()).isZero();
    }

    // Guards against counting the requests of a router that has ended or switched to another
    // control instance.
    @Test
    void silentRoutersAndPeersExpire() {
        mTable.onRouterReport(NOW, "r1", fullReport(new BackendLoad(FIRST, 2)));
        mPeer.onRouterReport(NOW, "r2", fullReport(new BackendLoad(FIRST, 4)));
        sendPeerUpdate(NOW);
        sendPeerUpdate(NOW.plusMillis(1000));
        mTable.expire(NOW.plus(ROUTER_TIMEOUT));
        assertThat(mTable.requests()).isEqualTo(4);
        assertThat(mTable.routers()).isEqualTo(1);
        mTable.expire(NOW.plusMillis(1000).plus(LoadTable.PEER_TIMEOUT));
        assertThat(mTable.requests()).isZero();
        assertThat(mTable.routers()).isZero();
    }

    // Guards against a lost message that leaves two control instances with different sums.
    @Test
    void lostUpdateIsRepairedWithinASecond() {
        mPeer.onRouterReport(NOW, "r1", fullReport(new BackendLoad(FIRST, 4)));
        mPeer.takePeerUpdate(NOW);
        sendPeerUpdate(NOW.plusMillis(100));
        assertThat(mTable.requests()).isZero();
        mPeer.onRouterReport(NOW.plusMillis(900), "r1", fullReport(new BackendLoad(FIRST, 4)));
        sendPeerUpdate(NOW.plusMillis(1000));
        assertThat(mTable.requests()).isEqualTo(4);
    }

    // Guards against a full server that counts as idle for a moment after one lost message.
    @Test
    void singleLostUpdateDoesNotHideLoad() {
        for (int millis = 0; millis <= 10_000; millis += 20) {
            Instant now = NOW.plusMillis(millis);
            mPeer.onRouterReport(now, "r1", fullReport(new BackendLoad(FIRST, 24)));
            PeerLoads update = mPeer.takePeerUpdate(now);
            boolean lost = millis / 1000 % 3 == 2;
            if (!update.isEmpty() && !lost) {
                mTable.onPeerLoads(now, update);
            }
            mTable.onPeerLoads(now, new PeerLoads("c1", 1, NO_CHANGES));
            mTable.expire(now);
            assertThat(mTable.requests()).as("after %d ms", millis).isEqualTo(24);
        }
    }

    // Guards against treating a few changed sums of a peer as the whole load of its routers.
    @Test
    void routersOfAPeerCountAfterItsFirstFullUpdate() {
        BackendLoad load = new BackendLoad(FIRST, 4);
        mTable.onPeerLoads(NOW, new PeerLoads("c1", 20, incrementalReport(load)));
        assertThat(digest(mTable).routers()).isZero();
        mTable.onPeerLoads(NOW, new PeerLoads("c1", 20, fullReport(load)));
        mTable.onPeerLoads(NOW, new PeerLoads("c1", 21, incrementalReport(load)));
        assertThat(digest(mTable).routers()).isEqualTo(21);
    }

    // Guards against subtracting a router's latest requests because the digest does not include
    // them yet.
    @Test
    void refreshedDigestHasCurrentLoads() {
        mTable.onRouterReport(NOW, "r1", fullReport(new BackendLoad(FIRST, 12)));
        LoadDigest before = digest(mTable);
        mTable.onRouterReport(NOW, "r2", fullReport(new BackendLoad(FIRST, 10)));
        assertThat(mTable.refreshed(before).busy()).containsExactly(new BackendLoad(FIRST, 22));
    }

    // Guards against sending unchanged sums to the peers again and again.
    @Test
    void peerUpdateListsChangesOnce() {
        mPeer.onRouterReport(
                NOW, "r1", fullReport(new BackendLoad(FIRST, 4), new BackendLoad(SECOND, 1)));
        mPeer.takePeerUpdate(NOW);
        Instant next = NOW.plusMillis(100);
        mPeer.onRouterReport(next, "r1", fullReport(new BackendLoad(FIRST, 4)));
        assertThat(mPeer.takePeerUpdate(next).sums().servers())
                .containsExactly(new BackendLoad(SECOND, 0));
        assertThat(mPeer.takePeerUpdate(next).isEmpty()).isTrue();
    }

    // Guards against a mean that is too low because it includes draining servers.
    @Test
    void drainingServersDoNotCount() {
        mTable.onRouterReport(
                NOW, "r1", fullReport(new BackendLoad(FIRST, 4), new BackendLoad(SECOND, 1)));
        LoadDigest digest =
                mTable.digest(
                        List.of(
                                backend(FIRST, Backend.State.SERVING),
                                backend(SECOND, Backend.State.DRAINING)));
        assertThat(digest.means()).containsExactly(new MeanLoad("svc", 4));
        assertThat(digest.busy()).isEmpty();
    }

    // Guards against answers to routers that grow with the number of backend servers.
    @Test
    void digestIsBounded() {
        List<BackendLoad> loads =
                IntStream.range(0, 1000).mapToObj(i -> new BackendLoad(ref(i), i)).toList();
        mTable.onRouterReport(NOW, "r1", fullReport(loads.toArray(new BackendLoad[0])));
        LoadDigest digest =
                mTable.digest(
                        loads.stream()
                                .map(l -> backend(l.server(), Backend.State.SERVING))
                                .toList());
        assertThat(digest.busy()).hasSize(LoadDigest.MAX_BUSY);
        assertThat(digest.busy()).allMatch(l -> l.requests() >= 1000 - LoadDigest.MAX_BUSY);
    }

    // Guards against missing a hot prompt part because each router has one request with it only.
    @Test
    void partIsHotIfSeveralRoutersRequestIt() {
        mTable.onRouterReport(NOW, "r1", reportOfPart(7, 1));
        mPeer.onRouterReport(NOW, "r2", reportOfPart(7, 1));
        sendPeerUpdate(NOW);
        assertThat(digest(mTable).hot()).isEmpty();
        mTable.onRouterReport(NOW, "r3", reportOfPart(7, 1));
        assertThat(digest(mTable).hot()).containsExactly(new PartLoad(7, 3));
        mTable.expire(NOW.plus(ROUTER_TIMEOUT));
        assertThat(digest(mTable).hot()).isEmpty();
    }
}
