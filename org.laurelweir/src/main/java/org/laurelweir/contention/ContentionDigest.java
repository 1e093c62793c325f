package org.laurelweir.contention;

import java.util.List;

/**
 * The demand of all routers, as control sends it to a router. Every digest is complete, so that
 * neither side has to record what the other already knows.
 *
 * @param routers the number of routers whose demand is included
 * @param means the mean demand of each service
 * @param servers backend servers above the mean of their service or with many failures; those with
 *     the highest failure rates and the most tokens if there are more than {@link #MAX_SERVERS}
 * @param accounts the client accounts with the most tokens in flight
 * @param accountTokens tokens in flight of all client accounts, also those that are not listed
 * @param accountCount number of client accounts with any tokens in flight
 */
public record ContentionDigest(
        int routers,
        List<MeanDemand> means,
        List<ServerDemand> servers,
        List<AccountDemand> accounts,
        long accountTokens,
        int accountCount) {
    /**
     * Maximum number of backend servers in a digest. Together with the largest load digest, 128
     * servers and 64 accounts made an answer of 11,256 bytes, above the 8,100 bytes that a router
     * may receive in one exchange interval.
     */
    public static final int MAX_SERVERS = 48;

    /** Maximum number of client accounts in a digest, for the same reason. */
    public static final int MAX_ACCOUNTS = 32;

    /** A digest without any demand, from a process that knows none. */
    public static final ContentionDigest NONE =
            new ContentionDigest(0, List.of(), List.of(), List.of(), 0, 0);

    /** Creates a digest with immutable copies of the lists. */
    public ContentionDigest {
        means = List.copyOf(means);
        servers = List.copyOf(servers);
        accounts = List.copyOf(accounts);
    }
}
