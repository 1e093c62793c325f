package org.laurelweir.contention;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.laurelweir.lib.BackendRef;

/**
 * The demand of one router's own requests, and what of it the router has reported to control. Holds
 * only backend servers and client accounts with requests that are in flight or ended lately.
 */
final class OwnDemand {
    /** Number of incremental reports between full ones; a full report repairs any loss. */
    private static final int REPORTS_UNTIL_FULL = 10;

    private final Map<BackendRef, Long> mServerTokens = new HashMap<>();
    private final Map<BackendRef, OutcomeWindow> mOutcomes = new HashMap<>();
    private final Map<String, Long> mAccounts = new HashMap<>();
    private final Reported<BackendRef, DemandSum> mReportedServers = new Reported<>(DemandSum.ZERO);
    private final Reported<String, Long> mReportedAccounts = new Reported<>(0L);
    private long mAccountTokens;
    private boolean mIsUsed;
    private int mReportsUntilFull;

    /**
     * The contents of three reports: the last one, the last acknowledged one, and the one that the
     * digest in use answers. These differ if control answers late or with a digest that is ignored.
     */
    private static final class Reported<K, V> {
        private final V mZero;
        private Map<K, V> mLast = Map.of();
        private Map<K, V> mAcknowledged = Map.of();
        private Map<K, V> mInDigest = Map.of();

        Reported(V zero) {
            mZero = zero;
        }

        /** Passes the values that a report has to list to a consumer. */
        void report(Map<K, V> current, boolean full, BiConsumer<K, V> consumer) {
            mLast = current;
            current.forEach(
                    (key, v) -> {
                        if (full || !v.equals(mAcknowledged.get(key))) {
                            consumer.accept(key, v);
                        }
                    });
            if (!full) {
                mAcknowledged.keySet().stream()
                        .filter(key -> !current.containsKey(key))
                        .forEach(key -> consumer.accept(key, mZero));
            }
        }

        void onAcknowledged() {
            mAcknowledged = mLast;
        }

        void onDigestApplied() {
            mInDigest = mLast;
        }

        V inDigest(K key) {
            return mInDigest.getOrDefault(key, mZero);
        }
    }

    /** Changes the tokens in flight at a backend server and of a client account. */
    void add(BackendRef ref, String account, long tokens) {
        mIsUsed = true;
        add(mServerTokens, ref, tokens);
        long before = accountTokens(account);
        add(mAccounts, account, tokens);
        mAccountTokens += accountTokens(account) - before;
    }

    private static <K> void add(Map<K, Long> sums, K key, long change) {
        long sum = sums.getOrDefault(key, 0L) + change;
        if (sum > 0) {
            sums.put(key, sum);
        } else {
            sums.remove(key);
        }
    }

    void onOutcome(Instant now, BackendRef ref, boolean failed) {
        mIsUsed = true;
        mOutcomes.computeIfAbsent(ref, r -> new OutcomeWindow()).add(now, failed);
    }

    /** Returns this router's demand at a backend server now. */
    DemandSum server(Instant now, BackendRef ref) {
        long tokens = mServerTokens.getOrDefault(ref, 0L);
        OutcomeWindow outcomes = mOutcomes.get(ref);
        return outcomes == null
                ? new DemandSum(tokens, 0, 0)
                : new DemandSum(tokens, outcomes.ended(now), outcomes.failed(now));
    }

    /** Returns this router's demand at a backend server that the digest in use includes. */
    DemandSum serverInDigest(BackendRef ref) {
        return mReportedServers.inDigest(ref);
    }

    long accountTokens(String account) {
        return mAccounts.getOrDefault(account, 0L);
    }

    /** Returns the tokens of a client account that the digest in use includes. */
    long accountTokensInDigest(String account) {
        return mReportedAccounts.inDigest(account);
    }

    /** Returns the mean tokens in flight of the accounts that have any; 0 if none has. */
    double meanAccountTokens() {
        return mAccounts.isEmpty() ? 0 : (double) mAccountTokens / mAccounts.size();
    }

    /** Makes the next report a full one. */
    void requestFullReport() {
        mReportsUntilFull = 0;
    }

    /** Records that control has applied the last report. */
    void onReportAcknowledged() {
        mReportedServers.onAcknowledged();
        mReportedAccounts.onAcknowledged();
    }

    /** Records that the digest in use is now the one that answers the last report. */
    void onDigestApplied() {
        mReportedServers.onDigestApplied();
        mReportedAccounts.onDigestApplied();
    }

    /** Returns the next report to control, {@link ContentionReport#NONE} if no demand ever was. */
    ContentionReport report(Instant now) {
        if (!mIsUsed) {
            return ContentionReport.NONE;
        }
        Map<BackendRef, DemandSum> servers = currentServers(now);
        Map<String, Long> accounts = new HashMap<>(mAccounts);
        boolean full = mReportsUntilFull-- <= 0;
        ContentionReport report = report(servers, accounts, full);
        if (report.equals(ContentionReport.NONE)) {
            // A report without content would say that this router has no demand.
            report = report(servers, accounts, true);
        }
        if (report.full()) {
            mReportsUntilFull = REPORTS_UNTIL_FULL;
        }
        return report;
    }

    private ContentionReport report(
            Map<BackendRef, DemandSum> servers, Map<String, Long> accounts, boolean full) {
        List<ServerDemand> listedServers = new ArrayList<>();
        mReportedServers.report(servers, full, (ref, sum) -> listedServers.add(sum.at(ref)));
        List<AccountDemand> listedAccounts = new ArrayList<>();
        mReportedAccounts.report(
                accounts, full, (account, n) -> listedAccounts.add(new AccountDemand(account, n)));
        return new ContentionReport(full, listedServers, listedAccounts);
    }

    /** Returns the demand at all backend servers that have any, and drops ended windows. */
    private Map<BackendRef, DemandSum> currentServers(Instant now) {
        mOutcomes.values().removeIf(w -> w.ended(now) == 0);
        Map<BackendRef, DemandSum> servers = new HashMap<>();
        mServerTokens.keySet().forEach(ref -> servers.put(ref, server(now, ref)));
        mOutcomes.keySet().forEach(ref -> servers.put(ref, server(now, ref)));
        return servers;
    }
}
