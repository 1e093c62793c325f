package org.laurelweir.wire;

import java.util.List;
import org.laurelweir.contention.AccountDemand;
import org.laurelweir.contention.ContentionDigest;
import org.laurelweir.contention.ContentionReport;
import org.laurelweir.contention.MeanDemand;
import org.laurelweir.contention.ServerDemand;
import org.laurelweir.wire.v1.ExchangeReply;
import org.laurelweir.wire.v1.ExchangeRequest;

/**
 * Converts the reports and digests of the demand in contended deployments. An empty report or
 * digest is left out of the message that would carry it, so that other deployments exchange the
 * same messages as without them.
 */
public final class ContentionCodec {
    private ContentionCodec() {}

    /** Adds a router's report to a request, unless the report is empty. */
    public static ExchangeRequest.Builder addTo(
            ExchangeRequest.Builder request, ContentionReport r) {
        return r.equals(ContentionReport.NONE) ? request : request.setContention(toWire(r));
    }

    /** Adds a digest to a reply, unless the digest is empty. */
    public static ExchangeReply.Builder addTo(ExchangeReply.Builder reply, ContentionDigest d) {
        return d.equals(ContentionDigest.NONE) ? reply : reply.setContention(toWire(d));
    }

    /** Adds the sums of a control instance to its loads, unless the sums are empty. */
    static org.laurelweir.wire.v1.PeerLoads.Builder addTo(
            org.laurelweir.wire.v1.PeerLoads.Builder loads, ContentionReport sums) {
        return sums.equals(ContentionReport.NONE) ? loads : loads.setContention(toWire(sums));
    }

    /** Returns the report that a message holds; the empty one of an absent message. */
    public static ContentionReport toCore(org.laurelweir.wire.v1.ContentionReport r) {
        return new ContentionReport(
                r.getWhole(),
                serversToCore(r.getServersList()),
                accountsToCore(r.getAccountsList()));
    }

    /** Returns the digest that a message holds; the empty one of an absent message. */
    public static ContentionDigest toCore(org.laurelweir.wire.v1.ContentionDigest d) {
        return new ContentionDigest(
                d.getRouters(),
                d.getMeansList().stream()
                        .map(m -> new MeanDemand(m.getService(), m.getTokens()))
                        .toList(),
                serversToCore(d.getServersList()),
                accountsToCore(d.getAccountsList()),
                d.getAccountTokens(),
                d.getAccountCount());
    }

    private static org.laurelweir.wire.v1.ContentionReport toWire(ContentionReport r) {
        return org.laurelweir.wire.v1.ContentionReport.newBuilder()
                .setWhole(r.full())
                .addAllServers(r.servers().stream().map(ContentionCodec::toWire).toList())
                .addAllAccounts(r.accounts().stream().map(ContentionCodec::toWire).toList())
                .build();
    }

    private static org.laurelweir.wire.v1.ContentionDigest toWire(ContentionDigest d) {
        return org.laurelweir.wire.v1.ContentionDigest.newBuilder()
                .setRouters(d.routers())
                .addAllMeans(d.means().stream().map(ContentionCodec::toWire).toList())
                .addAllServers(d.servers().stream().map(ContentionCodec::toWire).toList())
                .addAllAccounts(d.accounts().stream().map(ContentionCodec::toWire).toList())
                .setAccountTokens(d.accountTokens())
                .setAccountCount(d.accountCount())
                .build();
    }

    private static org.laurelweir.wire.v1.ServerDemand toWire(ServerDemand d) {
        return org.laurelweir.wire.v1.ServerDemand.newBuilder()
                .setServer(IdCodec.toWire(d.server()))
                .setTokens(d.tokens())
                .setEnded(d.ended())
                .setFailed(d.failed())
                .build();
    }

    private static List<ServerDemand> serversToCore(
            List<org.laurelweir.wire.v1.ServerDemand> servers) {
        return servers.stream()
                .map(
                        d ->
                                new ServerDemand(
                                        IdCodec.toCore(d.getServer()),
                                        d.getTokens(),
                                        d.getEnded(),
                                        d.getFailed()))
                .toList();
    }

    private static org.laurelweir.wire.v1.AccountDemand toWire(AccountDemand d) {
        return org.laurelweir.wire.v1.AccountDemand.newBuilder()
                .setAccount(d.account())
                .setTokens(d.tokens())
                .build();
    }

    private static List<AccountDemand> accountsToCore(
            List<org.laurelweir.wire.v1.AccountDemand> accounts) {
        return accounts.stream()
                .map(d -> new AccountDemand(d.getAccount(), d.getTokens()))
                .toList();
    }

    private static org.laurelweir.wire.v1.MeanDemand toWire(MeanDemand m) {
        return org.laurelweir.wire.v1.MeanDemand.newBuilder()
                .setService(m.service())
                .setTokens(m.tokens())
                .build();
    }
}
