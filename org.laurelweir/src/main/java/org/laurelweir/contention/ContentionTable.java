package org.laurelweir.contention;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;
import org.laurelweir.sums.Arithmetic;
import org.laurelweir.sums.ReportSources;
import org.laurelweir.sums.SharedSums;

/**
 * Adds up the demand of all routers at one control instance, from the routers that report to it and
 * from its peers.
 */
public final class ContentionTable {
    /**
     * Maximum number of backend servers in a digest that are listed for their failures. The rest of
     * the list stays free for those with many tokens, whichever fail.
     */
    private static final int MAX_FAILING = ContentionDigest.MAX_SERVERS / 2;

    private final ReportSources mSources;
    private final SharedSums<BackendRef, DemandSum> mServers =
            new SharedSums<>(DemandSum.ARITHMETIC);
    private final SharedSums<String, Long> mAccounts = new SharedSums<>(Arithmetic.LONGS);

    /**
     * Creates an empty table.
     *
     * @param exchangeInterval the interval at which routers report
     */
    public ContentionTable(Duration exchangeInterval) {
        mSources = new ReportSources(exchangeInterval);
    }

    /**
     * Applies the report of a router. {@link ContentionReport#NONE} says that the router has no
     * demand, and removes what an earlier run under its name has reported.
     *
     * @return whether the report was applied. An incremental report of an unknown router is not.
     */
    public boolean onRouterReport(Instant now, String router, ContentionReport report) {
        boolean full = report.full() || report.equals(ContentionReport.NONE);
        if (!mSources.acceptRouter(now, router, full)) {
            return false;
        }
        Map<BackendRef, DemandSum> servers = new HashMap<>();
        report.servers().forEach(d -> servers.put(d.server(), DemandSum.of(d)));
        Map<String, Long> accounts = new HashMap<>();
        report.accounts().forEach(d -> accounts.put(d.account(), d.tokens()));
        if (full) {
            mServers.replace(router, servers);
            mAccounts.replace(router, accounts);
        } else {
            mServers.update(router, servers);
            mAccounts.update(router, accounts);
        }
        return true;
    }

    /**
     * Applies the sums of a peer.
     *
     * @param routers the number of routers that report to the peer
     * @param full whether the peer's message lists all its sums
     */
    public void onPeerSums(
            Instant now, String peer, int routers, boolean full, ContentionReport sums) {
        mSources.onPeerUpdate(now, peer, routers, full);
        for (ServerDemand d : sums.servers()) {
            mServers.putPeerCount(now, peer, d.server(), DemandSum.of(d));
        }
        for (AccountDemand d : sums.accounts()) {
            mAccounts.putPeerCount(now, peer, d.account(), d.tokens());
        }
    }

    /**
     * Returns the pending sums for the peers, and clears them.
     *
     * @param full whether to return all sums over the routers that report here
     * @return the sums, or {@link ContentionReport#NONE} if there are none to send
     */
    public ContentionReport takePeerSums(boolean full) {
        if (full) {
            mServers.markAllPending();
            mAccounts.markAllPending();
        }
        if (mServers.isNothingPending() && mAccounts.isNothingPending()) {
            return ContentionReport.NONE;
        }
        List<ServerDemand> servers = new ArrayList<>();
        mServers.takePending((ref, sum) -> servers.add(sum.at(ref)));
        List<AccountDemand> accounts = new ArrayList<>();
        mAccounts.takePending((account, n) -> accounts.add(new AccountDemand(account, n)));
        return new ContentionReport(full, servers, accounts);
    }

    /** Removes the routers and peers that are silent, and the sums that peers do not repeat. */
    public void expire(Instant now) {
        mSources.expire(now, this::removeRouter, this::removePeer);
        mServers.expire(now, ReportSources.PEER_SUM_TIMEOUT);
        mAccounts.expire(now, ReportSources.PEER_SUM_TIMEOUT);
    }

    private void removeRouter(String router) {
        mServers.removeSource(router);
        mAccounts.removeSource(router);
    }

    private void removePeer(String peer) {
        mServers.removePeer(peer);
        mAccounts.removePeer(peer);
    }

    /** Returns the number of routers that report here. */
    public int localRouters() {
        return mSources.localRouters();
    }

    /** Returns the number of backend servers and client accounts with a sum. */
    public int size() {
        return mServers.size() + mAccounts.size();
    }

    /**
     * Returns the digest for the routers.
     *
     * @param backends all known backend servers; only those that accept new requests are included
     */
    public ContentionDigest digest(Collection<Backend> backends) {
        Map<String, List<ServerDemand>> byService = new HashMap<>();
        Set<String> knownIds = new HashSet<>();
        for (Backend b : backends) {
            knownIds.add(b.ref().id());
            if (b.state() == Backend.State.SERVING) {
                byService.computeIfAbsent(b.service(), s -> new ArrayList<>()).add(server(b.ref()));
            }
        }
        Map<String, Double> means = new HashMap<>();
        byService.forEach((service, all) -> means.put(service, mean(all)));
        Largest<String> accounts = new Largest<>(ContentionDigest.MAX_ACCOUNTS);
        long[] accountTokens = {0};
        mAccounts.forEach(
                (account, n) -> {
                    accounts.add(n, account);
                    accountTokens[0] += n;
                });
        return new ContentionDigest(
                mSources.routers(),
                means.entrySet().stream()
                        .map(e -> new MeanDemand(e.getKey(), e.getValue()))
                        .toList(),
                notable(byService, means, unknown(knownIds)),
                accounts.list().stream().map(this::account).toList(),
                accountTokens[0],
                mAccounts.size());
    }

    private static double mean(List<ServerDemand> all) {
        return all.stream().mapToLong(ServerDemand::tokens).average().orElse(0);
    }

    /**
     * Returns the demand at backend servers that are not in the membership. A control instance that
     * has just started knows the demand at many servers before their announcements. They are
     * listed, since the mean of the others says nothing about them.
     */
    private List<ServerDemand> unknown(Set<String> knownIds) {
        List<ServerDemand> unknown = new ArrayList<>();
        mServers.forEach(
                (ref, sum) -> {
                    if (!knownIds.contains(ref.id())) {
                        unknown.add(sum.at(ref));
                    }
                });
        return unknown;
    }

    /** Returns the backend servers above the mean, with many failures, or not in the membership. */
    private static List<ServerDemand> notable(
            Map<String, List<ServerDemand>> byService,
            Map<String, Double> means,
            List<ServerDemand> unknown) {
        Largest<ServerDemand> failing = new Largest<>(MAX_FAILING);
        byService
                .values()
                .forEach(
                        all ->
                                all.stream()
                                        .filter(ContentionTable::failsOften)
                                        .forEach(d -> failing.add(d.failureRate(), d)));
        List<ServerDemand> notable = new ArrayList<>(failing.list());
        Set<ServerDemand> listed = new HashSet<>(notable);
        Largest<ServerDemand> full = new Largest<>(ContentionDigest.MAX_SERVERS - notable.size());
        byService.forEach(
                (service, all) -> {
                    double mean = means.get(service);
                    for (ServerDemand d : all) {
                        if ((d.tokens() > mean || failsOften(d)) && !listed.contains(d)) {
                            // Relative to the mean, because the tokens of services differ.
                            full.add(d.tokens() / (mean + 1), d);
                        }
                    }
                });
        double meanOfAll = mean(byService.values().stream().flatMap(List::stream).toList());
        unknown.forEach(d -> full.add(d.tokens() / (meanOfAll + 1), d));
        notable.addAll(full.list());
        return notable;
    }

    private static boolean failsOften(ServerDemand d) {
        return d.failureRate() > ServerDemand.NOTABLE_FAILURE_RATE;
    }

    /** Returns a copy of a digest with the current numbers of the listed servers and accounts. */
    public ContentionDigest refreshed(ContentionDigest digest) {
        return new ContentionDigest(
                digest.routers(),
                digest.means(),
                digest.servers().stream().map(d -> server(d.server())).toList(),
                digest.accounts().stream().map(d -> account(d.account())).toList(),
                digest.accountTokens(),
                digest.accountCount());
    }

    private ServerDemand server(BackendRef ref) {
        return mServers.get(ref).at(ref);
    }

    private AccountDemand account(String account) {
        return new AccountDemand(account, mAccounts.get(account));
    }
}
