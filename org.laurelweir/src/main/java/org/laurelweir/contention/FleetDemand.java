package org.laurelweir.contention;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.laurelweir.lib.BackendRef;

/**
 * Records the demand of this router's requests, and combines it with that of other routers, which
 * control sends in digests. With its age, what a digest says fades into the mean; after {@link
 * #MAX_AGE} this router's own requests alone count.
 */
public final class FleetDemand implements FleetView {
    /** Maximum age of a digest; most requests start and end within it. */
    static final Duration MAX_AGE = Duration.ofSeconds(3);

    /** A digest that covers a smaller share of all routers is ignored. */
    private static final double MIN_ROUTER_SHARE = 0.5;

    private final OwnDemand mOwn = new OwnDemand();

    /**
     * The backend servers that digests have listed. A server stays after a digest without it only
     * if that digest had no room for it.
     */
    private final Map<BackendRef, Listed> mServers = new HashMap<>();

    private Map<String, Double> mMeans = Map.of();
    private Accounts mAccounts = Accounts.NONE;
    private boolean mListsAllServers;
    private Instant mDigestTime = Instant.MIN;
    private Instant mReportTime = Instant.MIN;

    /**
     * The demand of other routers at a backend server.
     *
     * @param time time of the report that the digest answers
     */
    private record Listed(double tokens, double ended, double failed, Instant time) {}

    /**
     * The demand of client accounts in the last digest.
     *
     * @param others tokens at other routers of the listed accounts
     * @param mean mean tokens of all accounts that have any
     * @param unlisted estimated tokens of an account that is not listed
     */
    private record Accounts(Map<String, Double> others, double mean, double unlisted) {
        static final Accounts NONE = new Accounts(Map.of(), 0, 0);
    }

    /**
     * Records that this router sends a request to a backend server.
     *
     * @param tokens the tokens that it will hold there
     */
    public void onSent(Instant now, BackendRef ref, String account, long tokens) {
        mOwn.add(ref, account, tokens);
    }

    /** Records that a request of this router no longer holds its tokens at a backend server. */
    public void onReleased(Instant now, BackendRef ref, String account, long tokens) {
        mOwn.add(ref, account, -tokens);
    }

    /** Records whether a backend server failed a request of this router that has ended. */
    public void onOutcome(Instant now, BackendRef ref, boolean failed) {
        mOwn.onOutcome(now, ref, failed);
    }

    /**
     * Returns the next report to control of this router's demand; {@link ContentionReport#NONE} as
     * long as it has recorded none.
     */
    public ContentionReport report(Instant now) {
        if (mReportTime.isAfter(now)) {
            // After the clock is set back, a digest from its future would never be too old.
            mDigestTime = Instant.MIN;
            mServers.clear();
        }
        mReportTime = now;
        mServers.values().removeIf(l -> !isRecent(now, l.time()));
        return mOwn.report(now);
    }

    /**
     * Makes the next report a full one. Needed if control has not acknowledged the last report, or
     * if another incarnation of control has.
     */
    public void requestFullReport() {
        mOwn.requestFullReport();
    }

    /**
     * Applies the digest with which control answers the last report. Its numbers count as being as
     * old as that report.
     *
     * @param digest the digest; {@link ContentionDigest#NONE} if control could not apply the report
     * @param routers the number of routers in the fleet
     */
    public void onDigest(ContentionDigest digest, int routers) {
        if (digest.equals(ContentionDigest.NONE)) {
            mOwn.requestFullReport();
            return;
        }
        mOwn.onReportAcknowledged();
        if (digest.means().isEmpty() || digest.routers() < MIN_ROUTER_SHARE * routers) {
            return;
        }
        // Routers that have just switched to another control instance are counted twice.
        double scale = Math.min(1, (double) routers / digest.routers());
        mDigestTime = mReportTime;
        mOwn.onDigestApplied();
        mMeans = new HashMap<>();
        digest.means().forEach(m -> mMeans.put(m.service(), scale * m.tokens()));
        applyServers(digest, scale);
        applyAccounts(digest, scale);
    }

    private void applyServers(ContentionDigest digest, double scale) {
        mListsAllServers = digest.servers().size() < ContentionDigest.MAX_SERVERS;
        if (mListsAllServers) {
            mServers.clear();
        }
        for (ServerDemand d : digest.servers()) {
            DemandSum own = mOwn.serverInDigest(d.server());
            mServers.put(
                    d.server(),
                    new Listed(
                            Math.max(0, scale * d.tokens() - own.tokens()),
                            Math.max(0, scale * d.ended() - own.ended()),
                            Math.max(0, scale * d.failed() - own.failed()),
                            mReportTime));
        }
    }

    private void applyAccounts(ContentionDigest digest, double scale) {
        Map<String, Double> others = new HashMap<>();
        double listedTokens = 0;
        double smallest = Double.POSITIVE_INFINITY;
        for (AccountDemand d : digest.accounts()) {
            double own = mOwn.accountTokensInDigest(d.account());
            others.put(d.account(), Math.max(0, scale * d.tokens() - own));
            listedTokens += scale * d.tokens();
            smallest = Math.min(smallest, scale * d.tokens());
        }
        double tokens = scale * digest.accountTokens();
        int unlistedCount = digest.accountCount() - digest.accounts().size();
        double unlisted =
                unlistedCount <= 0
                        ? 0
                        : Math.min(smallest, Math.max(0, tokens - listedTokens) / unlistedCount);
        double mean = digest.accountCount() == 0 ? 0 : tokens / digest.accountCount();
        mAccounts = new Accounts(others, mean, unlisted);
    }

    @Override
    public double tokens(Instant now, String service, BackendRef ref) {
        long own = mOwn.server(now, ref).tokens();
        Double mean = hasRecentDigest(now) ? mMeans.get(service) : null;
        if (mean == null) {
            return own;
        }
        long sent = Math.max(0, own - mOwn.serverInDigest(ref).tokens());
        double fallback = Math.max(own, mean + sent);
        Listed listed = mServers.get(ref);
        if (listed == null || !isRecent(now, listed.time())) {
            return fallback;
        }
        double current = listed.tokens() + own;
        return current + (fallback - current) * fadedShare(now, listed.time());
    }

    @Override
    public double failureRate(Instant now, BackendRef ref) {
        DemandSum own = mOwn.server(now, ref);
        Listed listed = mServers.get(ref);
        if (listed != null && isRecent(now, listed.time()) && hasRecentDigest(now)) {
            double share = 1 - fadedShare(now, listed.time());
            return failureRate(
                    own.ended() + share * listed.ended(), own.failed() + share * listed.failed());
        }
        double ownRate = failureRate(own.ended(), own.failed());
        boolean isKnownToControl = own.failed() <= mOwn.serverInDigest(ref).failed();
        if (hasRecentDigest(now) && mListsAllServers && isKnownToControl) {
            // With the outcomes of all routers, control has found no higher rate.
            return Math.min(ownRate, ServerDemand.NOTABLE_FAILURE_RATE);
        }
        return ownRate;
    }

    private static double failureRate(double ended, double failed) {
        return ended < ServerDemand.MIN_ENDED ? 0 : Math.min(1, failed / ended);
    }

    @Override
    public double accountTokens(Instant now, String account) {
        long own = mOwn.accountTokens(account);
        if (!hasRecentDigest(now)) {
            return own;
        }
        long sent = Math.max(0, own - mOwn.accountTokensInDigest(account));
        Double others = mAccounts.others().get(account);
        if (others == null) {
            return Math.max(own, mAccounts.unlisted() + sent);
        }
        double current = others + own;
        double fallback = Math.max(own, mAccounts.mean() + sent);
        return current + (fallback - current) * fadedShare(now, mDigestTime);
    }

    @Override
    public double meanAccountTokens(Instant now) {
        double own = mOwn.meanAccountTokens();
        return hasRecentDigest(now) && mAccounts.mean() > 0 ? mAccounts.mean() : own;
    }

    @Override
    public double ageMillis(Instant now) {
        return hasRecentDigest(now) ? ageMillis(now, mDigestTime) : Double.NaN;
    }

    /** Returns whether the last applied digest is recent. */
    public boolean hasRecentDigest(Instant now) {
        return isRecent(now, mDigestTime);
    }

    private static boolean isRecent(Instant now, Instant time) {
        return time != Instant.MIN && now.isBefore(time.plus(MAX_AGE));
    }

    /** Returns the age of a report in milliseconds; 0 after the clock is set back. */
    private static double ageMillis(Instant now, Instant time) {
        return Math.max(0, Duration.between(time, now).toMillis());
    }

    private static double fadedShare(Instant now, Instant time) {
        return ageMillis(now, time) / MAX_AGE.toMillis();
    }
}
