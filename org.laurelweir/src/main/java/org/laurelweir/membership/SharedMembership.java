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
 * The membership as one control instance knows it: what it hears from sidecars itself, and what its
 * peers pass on. Nothing of it is durable, and it needs no quorum: on the far side of a partition
 * an instance goes on serving what it hears.
 *
 * <p>Each sidecar is heard by one instance at a time, which alone may say that the sidecar has
 * vanished. All others take announcements by {@link Backend#supersedes}, which any order of
 * messages brings to the same end.
 */
public final class SharedMembership {
    private static final Predicate<Backend> EVERY = b -> true;

    private final PauseTolerantClock mTime = new PauseTolerantClock();
    private final MembershipListener mListener;
    private final String mSelf;
    private final MembershipLog mLog;
    private final SessionTable mSessions;
    private final FlapGuard mFlaps;
    private final PeerTable mPeers;
    private final OrphanedBackends mOrphans;
    // Departures that a peer announced of sessions that are heard here all the same.
    private final Set<String> mDisputed = new HashSet<>();

    /**
     * Creates an empty membership.
     *
     * @param config times and bounds
     * @param peers names of the other control instances
     * @param listener told of each change
     */
    public SharedMembership(
            MembershipConfig config, Collection<String> peers, MembershipListener listener) {
        mListener = listener;
        mSelf = config.control();
        mLog =
                new MembershipLog(
                        config.control(), config.incarnation(), config.departedRetention());
        mSessions = new SessionTable(mTime, config.vanishAfter());
        mFlaps = new FlapGuard(mTime, config);
        mPeers = new PeerTable(mTime, config, peers);
        mOrphans = new OrphanedBackends(mTime, config.orphanAfter());
    }

    /**
     * Takes a sidecar's report.
     *
     * @param now when
     * @param report what it announced
     * @return the least session under which the sidecar is heard; not above its own in the usual
     *     case
     */
    public int receiveReport(Instant now, SidecarReport report) {
        Backend b = report.backend();
        if (mFlaps.refresh(report)) {
            return b.session();
        }
        Announcement known = mLog.get(b.ref().id());
        if (known == null || isNewSession(b, known.backend())) {
            join(now, report, known == null ? null : known.backend());
            return b.session();
        }
        int least = leastSession(known);
        if (b.isSameSession(known.backend()) && b.session() >= least) {
            stay(now, report, known.backend());
        }
        return least;
    }

    private static boolean isNewSession(Backend b, Backend known) {
        return b.supersedes(known) && !b.isSameSession(known);
    }

    /** A session that has ended, or that another instance hears, is not heard here. */
    private int leastSession(Announcement known) {
        Backend b = known.backend();
        boolean over = b.state() == Backend.State.LEFT || !known.control().equals(mSelf);
        return over || mDisputed.contains(b.ref().id()) ? b.session() + 1 : b.session();
    }

    private void stay(Instant now, SidecarReport report, Backend known) {
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

    private void join(Instant now, SidecarReport report, Backend known) {
        Backend b = report.backend();
        String id = b.ref().id();
        if (known != null && isCrashed(known, b)) {
            mFlaps.vanished(now, id);
        }
        if (b.state() == Backend.State.LEFT) {
            mSessions.remove(id);
            announce(now, b, "stopped");
            return;
        }
        // One that goes on under a new session, such as with another instance, never left.
        boolean present = known != null && known.ref().equals(b.ref());
        boolean stays = present && known.state() != Backend.State.LEFT;
        if (!stays && hold(now, report)) {
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

    private boolean hold(Instant now, SidecarReport report) {
        Duration time = mFlaps.hold(now, report);
        if (time.isZero()) {
            return false;
        }
        mListener.changed(report.backend(), "held back for " + time.toSeconds() + " s", true);
        return true;
    }

    private void admit(Instant now, SidecarReport report, String reason) {
        Backend b = report.backend();
        mSessions.put(report);
        mDisputed.remove(b.ref().id());
        announce(now, b, reason);
    }

    /** Takes what this instance itself vouches for. */
    private void announce(Instant now, Backend b, String reason) {
        if (take(now, new Announcement(b, mSelf))) {
            mListener.changed(b, reason, true);
        }
    }

    private boolean take(Instant now, Announcement a) {
        Announcement before = mLog.get(a.backend().ref().id());
        if (!mLog.merge(now, a)) {
            return false;
        }
        mFlaps.changed(before == null ? null : before.backend(), a.backend());
        return true;
    }

    /**
     * Lets time pass: notices who has vanished.
     *
     * @param now the time
     */
    public void tick(Instant now) {
        mTime.pass(now);
        for (Backend b : mSessions.removeSilent()) {
            mFlaps.vanished(now, b.ref().id());
            announce(now, b.withState(Backend.State.LEFT), "missed exchanges");
        }
        for (SidecarReport r : mFlaps.release()) {
            admit(now, r, "held back long enough");
        }
        giveUpOrphans(now);
        mLog.forget(now);
        mFlaps.forget(now);
    }

    private void giveUpOrphans(Instant now) {
        for (Backend b : mOrphans.due()) {
            giveUp(now, b, "not heard since this instance started");
        }
        // An instance that is cut off itself must not declare everyone else gone.
        if (!mPeers.hasMajority()) {
            return;
        }
        for (String peer : mPeers.giveUp()) {
            for (Announcement a : List.copyOf(mLog.all())) {
                if (a.control().equals(peer)) {
                    giveUp(now, a.backend(), "its control instance is gone");
                }
            }
        }
    }

    private void giveUp(Instant now, Backend b, String reason) {
        Announcement known = mLog.get(b.ref().id());
        if (known != null && known.backend().equals(b)) {
            announce(now, b.withState(Backend.State.LEFT), reason);
        }
    }

    /**
     * Takes what a peer told.
     *
     * @param now when
     * @param peer the peer's name
     * @param share what it knows
     */
    public void merge(Instant now, String peer, PeerUpdate share) {
        mPeers.answered(peer, share);
        share.announcements().forEach(a -> mergeOne(now, a));
    }

    /**
     * Takes single announcements that a peer passed on at once, ahead of its next answer.
     *
     * @param now when
     * @param announcements what changed there
     */
    public void mergeAnnouncements(Instant now, List<Announcement> announcements) {
        announcements.forEach(a -> mergeOne(now, a));
    }

    private void mergeOne(Instant now, Announcement a) {
        Backend b = a.backend();
        String id = b.ref().id();
        // Peers that could not reach this instance took its sidecars for gone. Here it is known to
        // be alive: it is asked for a new session, which then wins over the departure everywhere.
        if (b.state() == Backend.State.LEFT && mSessions.hears(b)) {
            mDisputed.add(id);
            return;
        }
        Announcement known = mLog.get(id);
        if (!take(now, a)) {
            return;
        }
        // After a start peers tell of all that left lately, which changes nothing here.
        if (known != null || b.state() != Backend.State.LEFT) {
            mListener.changed(b, "heard by " + a.control(), false);
        }
        boolean served = known != null && known.backend().state() == Backend.State.SERVING;
        if (served && b.state() == Backend.State.LEFT) {
            mFlaps.vanished(now, id);
        }
        mSessions.remove(id);
        mFlaps.remove(id);
        mDisputed.remove(id);
        if (a.control().equals(mSelf)) {
            // From before this instance was started anew. Nobody else would miss it.
            mOrphans.add(b);
        }
    }

    /**
     * Returns what a reader lacks.
     *
     * @param cursor where it stands
     * @param service the only service that it follows, or null for all
     */
    public MembershipDelta deltaSince(MembershipCursor cursor, String service) {
        return mLog.deltaSince(cursor, service == null ? EVERY : b -> b.service().equals(service));
    }

    /**
     * Returns what a peer lacks. Everything known is passed on, not only what is heard here: where
     * two peers can't reach each other, a third one carries it.
     *
     * @param cursor where the peer stands in this instance's changes
     */
    public PeerUpdate updateSince(MembershipCursor cursor) {
        return new PeerUpdate(
                mLog.cursor(),
                List.copyOf(mLog.since(cursor)),
                List.copyOf(mSessions.sums().all()));
    }

    /** Returns how far a peer's changes are known here. */
    public MembershipCursor cursorOf(String peer) {
        return mPeers.cursor(peer);
    }

    /** Returns a service's load over all instances that answer. */
    public ServiceLoad load(String service) {
        return mPeers.addTo(mSessions.sums().get(service)).mean();
    }

    /** Returns the load of every service that is heard anywhere. */
    public List<ServiceLoad> loads() {
        TreeSet<String> services = new TreeSet<>(mPeers.services());
        mSessions.sums().all().forEach(s -> services.add(s.service()));
        List<ServiceLoad> loads = new ArrayList<>();
        services.forEach(s -> loads.add(load(s)));
        return loads;
    }

    /** Returns whether a backend server has announced itself and not been forgotten since. */
    public boolean knows(String id) {
        return mLog.get(id) != null;
    }

    /** Returns a backend server as last announced, or null if it is not known. */
    public Backend backend(String id) {
        Announcement known = mLog.get(id);
        return known == null ? null : known.backend();
    }

    /** Returns whether this very session of a backend server is heard here. */
    public boolean hears(Backend b) {
        return mSessions.hears(b);
    }

    /** Forgets a control instance that is gone for good. */
    public void forgetPeer(String peer) {
        mPeers.forget(peer);
    }

    /** Returns every backend server known, those that left lately included. */
    public Collection<Backend> backends() {
        return mLog.all().stream().map(Announcement::backend).toList();
    }

    /** Returns how many backend servers are known, those that left lately included. */
    public int backendCount() {
        return mLog.all().size();
    }

    /** Returns how many sidecars are heard here. */
    public int sessionCount() {
        return mSessions.size();
    }

    /** Returns what a sidecar that is heard here reported last, or null. */
    public SidecarReport report(String id) {
        return mSessions.get(id);
    }

    /** Returns whether most control instances, this one included, answer. */
    public boolean hasMajority() {
        return mPeers.hasMajority();
    }
}
