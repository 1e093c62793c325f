package org.laurelweir.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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

    private final SeenTime mTime = new SeenTime();
    private final MembershipListener mListener;
    private final MembershipLog mOwn;
    private final MembershipLog mMerged;
    private final SessionTable mSessions;
    private final HeldBackends mHeld;
    private final FlapDamper mDamper;
    private final PeerTable mPeers;
    private final Orphans mOrphans;
    private final ServiceCounts mCounts = new ServiceCounts();
    // Departures that a peer announced of sessions that are heard here all the same.
    private final Map<String, Backend> mDisputed = new HashMap<>();

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
        mOwn = new MembershipLog(config.control(), config.incarnation(), config.keepLeft());
        mMerged = new MembershipLog(config.control(), config.incarnation(), config.keepLeft());
        mSessions = new SessionTable(mTime, config.vanishAfter());
        mHeld = new HeldBackends(mTime, config.vanishAfter());
        mDamper = new FlapDamper(config);
        mPeers = new PeerTable(mTime, config, peers);
        mOrphans = new Orphans(mTime, config.orphanAfter());
    }

    /**
     * Takes a sidecar's report.
     *
     * @param now when
     * @param report what it announced
     * @return the least session under which the sidecar is heard; not above its own in the usual
     *     case
     */
    public int hear(Instant now, SidecarReport report) {
        Backend b = report.backend();
        Backend known = mMerged.get(b.ref().id());
        if (mHeld.refresh(report)) {
            return b.session();
        }
        if (known == null || (b.supersedes(known) && !b.isSameSession(known))) {
            join(now, report, known);
            return b.session();
        }
        if (b.isSameSession(known) && known.state() != Backend.State.LEFT) {
            stay(now, report, known);
        }
        return leastSession(known);
    }

    private int leastSession(Backend known) {
        Backend disputed = mDisputed.get(known.ref().id());
        boolean over = known.state() == Backend.State.LEFT;
        if (disputed != null && disputed.isSameSession(known)) {
            over = true;
        }
        return over ? known.session() + 1 : known.session();
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
        } else {
            mOwn.merge(now, known);
        }
        mPeers.hears(null, b.ref().id());
        Backend newest = mMerged.get(b.ref().id());
        mSessions.put(
                new SidecarReport(
                        newest, report.runningWork(), report.running(), report.waiting()));
    }

    private void join(Instant now, SidecarReport report, Backend known) {
        Backend b = report.backend();
        String id = b.ref().id();
        if (known != null && isCrashed(known, b)) {
            mDamper.vanished(now, id);
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
        Backend b = report.backend();
        Duration time = mDamper.holdTime(now, b.ref().id());
        int limit = mDamper.holdLimit(mCounts.present(b.service()));
        if (time.isZero() || mHeld.count(b.service()) >= limit) {
            return false;
        }
        mHeld.hold(report, time);
        mListener.changed(b, "held back for " + time.toSeconds() + " s", true);
        return true;
    }

    private void admit(Instant now, SidecarReport report, String reason) {
        Backend b = report.backend();
        mSessions.put(report);
        mPeers.hears(null, b.ref().id());
        mDisputed.remove(b.ref().id());
        announce(now, b, reason);
    }

    /** Takes what this instance itself vouches for; it is passed on to the peers. */
    private void announce(Instant now, Backend b, String reason) {
        mOwn.merge(now, b);
        if (take(now, b)) {
            mListener.changed(b, reason, true);
        }
    }

    private boolean take(Instant now, Backend b) {
        Backend before = mMerged.get(b.ref().id());
        if (!mMerged.merge(now, b)) {
            return false;
        }
        mCounts.changed(before, b);
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
            mDamper.vanished(now, b.ref().id());
            announce(now, b.withState(Backend.State.LEFT), "missed exchanges");
        }
        for (SidecarReport r : mHeld.release()) {
            admit(now, r, "held back long enough");
        }
        giveUpOrphans(now);
        mOwn.forget(now);
        mMerged.forget(now);
        mDamper.forget(now);
    }

    private void giveUpOrphans(Instant now) {
        // An instance that is cut off itself must not declare everyone else gone.
        if (!mPeers.hasMajority()) {
            return;
        }
        for (String peer : mPeers.giveUp()) {
            for (Backend b : List.copyOf(mMerged.all())) {
                if (mPeers.isHeardBy(peer, b.ref().id())) {
                    giveUp(now, b);
                }
            }
        }
        for (Backend b : mOrphans.due()) {
            giveUp(now, b);
        }
    }

    private void giveUp(Instant now, Backend b) {
        if (b.equals(mMerged.get(b.ref().id())) && !mSessions.hears(b)) {
            announce(now, b.withState(Backend.State.LEFT), "its control instance is gone");
        }
    }

    /**
     * Takes what a peer told.
     *
     * @param now when
     * @param peer the peer's name
     * @param share what it hears
     */
    public void merge(Instant now, String peer, PeerShare share) {
        if (mPeers.answered(peer, share)) {
            // Sidecars heard by its run before go on to some instance within seconds, if alive.
            for (Backend b : mMerged.all()) {
                if (mPeers.isHeardBy(peer, b.ref().id())) {
                    mOrphans.add(b);
                }
            }
        }
        for (Backend b : share.delta().backends()) {
            mergeOne(now, peer, b);
        }
    }

    /**
     * Takes single announcements that a peer passed on at once, ahead of its next answer.
     *
     * @param now when
     * @param peer the peer's name
     * @param backends what changed there
     */
    public void mergeEarly(Instant now, String peer, List<Backend> backends) {
        backends.forEach(b -> mergeOne(now, peer, b));
    }

    private void mergeOne(Instant now, String peer, Backend b) {
        String id = b.ref().id();
        if (b.state() == Backend.State.LEFT && mSessions.hears(b)) {
            mDisputed.put(id, b);
            return;
        }
        Backend known = mMerged.get(id);
        if (take(now, b)) {
            mListener.changed(b, "heard by " + peer, false);
            if (b.state() == Backend.State.LEFT
                    && known != null
                    && known.state() == Backend.State.SERVING) {
                mDamper.vanished(now, id);
            }
            mSessions.remove(id);
            mHeld.remove(id);
        }
        Backend newest = mMerged.get(id);
        if (newest.isSameSession(b)) {
            mPeers.hears(peer, id);
            mOrphans.remove(id);
        }
    }

    /**
     * Returns what a reader lacks.
     *
     * @param cursor where it stands
     * @param service the only service that it follows, or null for all
     */
    public MembershipDelta deltaSince(MembershipCursor cursor, String service) {
        return mMerged.deltaSince(
                cursor, service == null ? EVERY : b -> b.service().equals(service));
    }

    /**
     * Returns what a peer lacks of what is heard here.
     *
     * @param cursor where the peer stands in this instance's own announcements
     */
    public PeerShare shareSince(MembershipCursor cursor) {
        return new PeerShare(mOwn.deltaSince(cursor, EVERY), List.copyOf(mSessions.sums().all()));
    }

    /** Returns how far a peer's own announcements are known here. */
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
        return mMerged.get(id) != null;
    }

    /** Returns every backend server known, those that left lately included. */
    public Collection<Backend> backends() {
        return mMerged.all();
    }

    /** Returns how many sidecars are heard here. */
    public int heardCount() {
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
