package org.laurelweir.contention;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.laurelweir.lib.BackendRef;

/** Records the demand of this router's requests, and combines it with that of other routers. */
public final class FleetDemand implements FleetView {
    private final Map<BackendRef, Long> mTokensByServer = new HashMap<>();
    private final Map<String, Long> mTokensByAccount = new HashMap<>();

    /**
     * Records that this router sends a request to a backend server.
     *
     * @param tokens the tokens that it will hold there
     */
    public void onSent(Instant now, BackendRef ref, String account, long tokens) {
        add(mTokensByServer, ref, tokens);
        add(mTokensByAccount, account, tokens);
    }

    /** Records that a request of this router no longer holds its tokens at a backend server. */
    public void onReleased(Instant now, BackendRef ref, String account, long tokens) {
        add(mTokensByServer, ref, -tokens);
        add(mTokensByAccount, account, -tokens);
    }

    /** Records whether a backend server failed a request of this router that has ended. */
    public void onOutcome(Instant now, BackendRef ref, boolean failed) {}

    private static <K> void add(Map<K, Long> sums, K key, long change) {
        sums.merge(key, change, (a, b) -> a + b <= 0 ? null : Long.valueOf(a + b));
    }

    @Override
    public double tokens(Instant now, String service, BackendRef ref) {
        return mTokensByServer.getOrDefault(ref, 0L);
    }

    @Override
    public double failureRate(Instant now, BackendRef ref) {
        return 0;
    }

    @Override
    public double accountTokens(Instant now, String account) {
        return mTokensByAccount.getOrDefault(account, 0L);
    }

    @Override
    public double meanAccountTokens(Instant now) {
        return mTokensByAccount.values().stream().mapToLong(t -> t).average().orElse(0);
    }

    @Override
    public double ageMillis(Instant now) {
        return Double.NaN;
    }
}
