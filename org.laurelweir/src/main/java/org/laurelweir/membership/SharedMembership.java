package org.laurelweir.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * The membership as one control instance knows it, from the reports of sidecars and from the
 * updates of its peers. It is not durable and needs no quorum: during a partition, an instance
 * without a majority continues to serve the sidecars that report to it.
 *
 * <p>Each sidecar reports to one instance at a time, and only this instance may announce that the
 * sidecar has timed out. The other instances merge announcements by {@link Backend#supersedes}, so
 * every order of messages leads to the same result.
 */
public final class SharedMembership {
    private static final Predicate<Backend> ANY_BACKEND = b -> true;

    private final PauseTolerantClock mClock = new PauseTolerantClock();
    private final MembershipListener mListener;
    private final String mSelf;
    private final MembershipLog mLog;
    private final SessionTable mSessions;
    private final FlapGuard mFlaps;
    private final PeerTable mPeers;
    private final OrphanedBackends mOrphans;
    private final Predicate<Backend> mIsOutdated;
    // IDs of backend servers that a peer announced as left although they report to this instance.
    private final Set<String> mDisputedDepartures = new HashSet<>();

    /** Creates an empty membership of a deployment in which no departure is recorded. */
    public SharedMembership(
            MembershipConfig config, Collection<String> peers, MembershipListener listener) {
        this(config, peers, listener, b -> false);
    }

    /**
     * Creates an empty membership.
     *
     * @param config timeouts and limits
     * @param peers the names of the other control instances
     * @param listener receives each change
     * @param isOutdated returns whether an announcement is older than a recorded {@link Departure}
     */
    public SharedMembership(
            MembershipConfig config,
            Collection<String> peers,
            MembershipListener listener,
            Predicate<Backend> isOutdated) {
        mIsOutdated = isOutdated;
        mListener = listener;
        mSelf = config.control();
        mLog =
                new MembershipLog(
                        config.control(), config.incarnation(), config.departedRetention());
        mSessions = new SessionTable(mClock, config.vanishAfter());
        mFlaps = new FlapGuard(mClock, config);
        mPeers = new PeerTable(mClock, config, peers);
        mOrphans = new OrphanedBackends(mClock, config.orphanTimeout());
    }

    /**
     * Receives a sidecar's report.
     *
     * @param now the current time
     * @param report the report
     * @return the minimum session number that this instance accepts from the sidecar. If it is
     *     above the report's own session, the sidecar has to start a new session.
     */
    public int receiveReport(Instant now, SidecarReport report) {
        Backend b = report.backend();
        if (mFlaps.refresh(report)) {
            return b.session();
        }
        Announcement known = mLog.get(b.ref().id());
        if (known == null || isNewSession(b, known.backend())) {
            startSession(now, report, known == null ? null : known.backend());
            return b.session();
        }
        int requiredSession = minSession(known);
        if (b.isSameSession(known.backend()) && b.session() >= requiredSession) {
            continueSession(now, report, known.backend());
        }
        return requiredSession;
    }

    private static boolean isNewSession(Backend b, Backend known) {
        return b.supersedes(known) && !b.isSameSession(known);
    }

    /**
     * Returns the minimum session that is accepted. The known session is rejected if it has ended,
     * if it belongs to another instance, or if a peer announced that it left.
     */
    private int minSession(Announcement known) {
        Backend b = known.backend();
        boolean isOver = b.state() == Backend.State.LEFT || !known.control().equals(mSelf);
        return isOver || mDisputedDepartures.contains(b.ref().id()) ? b.session() + 1 : b.session();
    }

    private void continueSession(Instant now, SidecarReport report, Backend known) {
        Backend b = report.backend();
        if (b.state() == Backend.State.LEFT) {
            mSessions.remove(b.ref().id());
            announce(now, b, "stopped");
            return;
        }
        if (b.supersedes(known)) {
            announce(now, b, "draining");
        }
        mOrphans.remove(b.ref().id());
        Backend newest = mLog.get(b.ref().id()).backend();
        mSessions.put(
                new SidecarReport(
                        newest, report.runningWork(), report.running(), report.waiting()));
    }

    private void startSession(Instant now, SidecarReport report, Backend known) {
        Backend b = report.backend();
        String id = b.ref().id();
        if (known != null && isCrashed(known, b)) {
            mFlaps.recordDeparture(now, id);
        }
        if (b.state() == Backend.State.LEFT) {
            mSessions.remove(id);
            announce(now, b, "stopped");
            return;
        }
        // A backend server that only starts a new session, such as with another control instance,
        // did not leave.
        boolean isSameIncarnation = known != null && known.ref().equals(b.ref());
        boolean hasStayed = isSameIncarnation && known.state() != Backend.State.LEFT;
        if (!hasStayed && holdBack(now, report)) {
            if (known != null && known.state() != Backend.State.LEFT) {
                announce(now, known.withState(Backend.State.LEFT), "restarted");
            }
            mSessions.remove(id);
            return;
        }
        admit(now, report, known == null ? "joined" : "joined again");
    }

    private static boolean isCrashed(Backend known, Backend b) {
        return known.state() == Backend.State.SERVING
                && known.ref().incarnation() != b.ref().incarnation();
    }

    private boolean holdBack(Instant now, SidecarReport report) {
        Duration duration = mFlaps.hold(now, report);
        if (duration.isZero()) {
            return false;
        }
        mListener.changed(report.backend(), "held back for " + duration.toSeconds() + " s", true);
        return true;
    }

    private void admit(Instant now, SidecarReport report, String reason) {
        Backend b = report.backend();
        mSessions.put(report);
        mDisputedDepartures.remove(b.ref().id());
        announce(now, b, reason);
    }

    /** Merges and logs an announcement of this instance. */
    private void announce(Instant now, Backend b, String reason) {
        if (mergeIntoLog(now, new Announcement(b, mSelf))) {
            mListener.changed(b, reason, true);
        }
    }

    private boolean mergeIntoLog(Instant now, Announcement a) {
        Announcement before = mLog.get(a.backend().ref().id());
        if (!mLog.merge(now, a)) {
            return false;
        }
        mFlaps.updateCounts(before == null ? null : before.backend(), a.backend());
        return true;
    }

    /**
     * Advances the time and announces the backend servers that have timed out as left.
     *
     * @param now the current time
     */
    public void tick(Instant now) {
        mClock.advance(now);
        for (Backend b : mSessions.removeTimedOut()) {
            mFlaps.recordDeparture(now, b.ref().id());
            announce(now, b.withState(Backend.State.LEFT), "missed exchanges");
        }
        for (SidecarReport r : mFlaps.release()) {
            admit(now, r, "held back long enough");
        }
        announceLostBackends(now);
        mLog.evictDeparted(now);
        mFlaps.evictExpired(now);
    }

    private void announceLostBackends(Instant now) {
        for (Backend b : mOrphans.removeDue()) {
            announceLost(now, b, "not heard since this instance started");
        }
        // An instance that is cut off must not declare all other instances lost.
        if (!mPeers.hasMajority()) {
            return;
        }
        for (String peer : mPeers.markLost()) {
            for (Announcement a : List.copyOf(mLog.all())) {
                if (a.control().equals(peer)) {
                    announceLost(now, a.backend(), "its control instance is gone");
                }
            }
        }
    }

    private void announceLost(Instant now, Backend b, String reason) {
        Announcement known = mLog.get(b.ref().id());
        if (known != null && known.backend().equals(b)) {
            announce(now, b.withState(Backend.State.LEFT), reason);
        }
    }

    /**
     * Merges a peer's update.
     *
     * @param now the current time
     * @param peer the peer's name
     * @param update the update
     */
    public void merge(Instant now, String peer, PeerUpdate update) {
        mPeers.recordAnswer(peer, update);
        update.announcements().forEach(a -> mergeAnnouncement(now, a));
    }

    /**
     * Merges announcements that a peer sent at once, before its next update.
     *
     * @param now the current time
     * @param announcements the peer's changes
     */
    public void mergeAnnouncements(Instant now, List<Announcement> announcements) {
        announcements.forEach(a -> mergeAnnouncement(now, a));
    }

    private void mergeAnnouncement(Instant now, Announcement a) {
        Backend b = a.backend();
        String id = b.ref().id();
        // Peers that could not reach this instance declared its sidecars lost. This sidecar is
        // alive: it has to start a new session, which supersedes the departure on all instances.
        if (b.state() == Backend.State.LEFT && mSessions.hasSession(b)) {
            mDisputedDepartures.add(id);
            return;
        }
        if (mIsOutdated.test(b)) {
            // The peer does not know yet what the log has, and will take the announcement back.
            return;
        }
        Announcement known = mLog.get(id);
        if (!mergeIntoLog(now, a)) {
            return;
        }
        // After a restart, peers also send the backend servers that left recently. These are not
        // logged, as nothing changes.
        if (known != null || b.state() != Backend.State.LEFT) {
            mListener.changed(b, "heard by " + a.control(), false);
        }
        boolean wasServing = known != null && known.backend().state() == Backend.State.SERVING;
        if (wasServing && b.state() == Backend.State.LEFT) {
            mFlaps.recordDeparture(now, id);
        }
        mSessions.remove(id);
        mFlaps.remove(id);
        mDisputedDepartures.remove(id);
        if (a.control().equals(mSelf)) {
            // This instance announced it before it restarted; no other instance detects its loss.
            mOrphans.add(b);
        }
    }

    /**
     * Returns the changes that a reader needs.
     *
     * @param cursor the reader's cursor
     * @param service the only service that the reader follows, or null for all
     */
    public MembershipDelta deltaSince(MembershipCursor cursor, String service) {
        return mLog.deltaSince(
                cursor, service == null ? ANY_BACKEND : b -> b.service().equals(service));
    }

    /**
     * Returns the changes that a peer needs. They include changes received from other peers: if two
     * instances can't reach each other, a third one forwards their changes.
     *
     * @param cursor the peer's cursor in this instance's changes
     */
    public PeerUpdate updateSince(MembershipCursor cursor) {
        return new PeerUpdate(
                mLog.cursor(),
                List.copyOf(mLog.since(cursor)),
                List.copyOf(mSessions.sums().all()));
    }

    /** Returns the cursor up to which this instance has received a peer's changes. */
    public MembershipCursor cursorOf(String peer) {
        return mPeers.cursor(peer);
    }

    /** Returns a service's load over this instance and all peers that answer. */
    public ServiceLoad load(String service) {
        return mPeers.addTo(mSessions.sums().get(service)).mean();
    }

    /** Returns the load of every service over this instance and all peers that answer. */
    public List<ServiceLoad> loads() {
        TreeSet<String> services = new TreeSet<>(mPeers.services());
        mSessions.sums().all().forEach(s -> services.add(s.service()));
        List<ServiceLoad> loads = new ArrayList<>();
        services.forEach(s -> loads.add(load(s)));
        return loads;
    }

    /** Returns whether a backend server is known; includes those that left recently. */
    public boolean knows(String id) {
        return mLog.get(id) != null;
    }

    /** Returns the newest announcement of a backend server, or null if it is not known. */
    public Backend backend(String id) {
        Announcement known = mLog.get(id);
        return known == null ? null : known.backend();
    }

    /** Returns whether an announcement is older than a recorded departure. */
    boolean isOutdated(Backend b) {
        return mIsOutdated.test(b);
    }

    /** Returns whether this session of a backend server reports to this instance. */
    public boolean hasSession(Backend b) {
        return mSessions.hasSession(b);
    }

    /**
     * Adds a control instance that exists, if it is not known, although it has not answered yet.
     */
    public void expectPeer(String peer) {
        mPeers.addPeer(peer);
    }

    /** Removes a control instance that will not return. */
    public void forgetPeer(String peer) {
        mPeers.removePeer(peer);
    }

    /** Returns all known backend servers, including those that left recently. */
    public Collection<Backend> backends() {
        return mLog.all().stream().map(Announcement::backend).toList();
    }

    /** Returns the number of known backend servers, including those that left recently. */
    public int backendCount() {
        return mLog.all().size();
    }

    /** Returns the number of sidecars that report to this instance. */
    public int sessionCount() {
        return mSessions.size();
    }

    /** Returns a sidecar's last report, or null if it does not report to this instance. */
    public SidecarReport lastReport(String id) {
        return mSessions.get(id);
    }

    /** Returns whether a majority of the control instances, this one included, answers. */
    public boolean hasMajority() {
        return mPeers.hasMajority();
    }
}
