package org.laurelweir.coordination;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.quarantine.CrashDelta;
import org.laurelweir.quarantine.CrashRecord;
import org.laurelweir.quarantine.CrashTable;
import org.laurelweir.quarantine.QuarantineNotes;
import org.laurelweir.quarantine.RequestKey;

/**
 * Passes on between routers, and between control instances, under which requests backend servers
 * ended. Nothing of it is durable: after a start routers and peers tell it again.
 */
final class CrashSharing {
    private final MembershipCursor mOwnRun;
    private final QuarantineNotes mNotes = new QuarantineNotes(DecisionNotes.PROGRAM);
    private final CrashTable mCrashes;
    private final Map<String, Long> mPeerVersions = new HashMap<>();
    private final List<CrashRecord> mPendingForPeers = new ArrayList<>();

    CrashSharing(ControlConfig config) {
        mOwnRun = new MembershipCursor(config.name(), config.incarnation(), 0);
        mCrashes = new CrashTable(config.name(), mNotes);
    }

    /**
     * Returns what a reader lacks.
     *
     * @param cursor names the run of a control instance whose records it has
     * @param seen how far
     */
    CrashDelta deltaSince(Instant now, MembershipCursor cursor, long seen) {
        return mCrashes.since(now, cursor.isSameRun(mOwnRun) ? seen : 0);
    }

    /** Takes what a router saw; what is new of it goes to the peers at once. */
    void onRouterReport(Instant now, List<CrashRecord> records) {
        if (mCrashes.merge(now, records)) {
            mPendingForPeers.addAll(records);
        }
    }

    /**
     * Lets a request be sent again.
     *
     * @return whether it was kept away
     */
    boolean release(Instant now, RequestKey key) {
        if (!mCrashes.isQuarantined(key)) {
            return false;
        }
        mCrashes.excuseAll(now, key);
        mCrashes.find(now, key).ifPresent(mPendingForPeers::add);
        return true;
    }

    /** Returns the requests that are kept away from backend servers. */
    List<CrashRecord> quarantined(Instant now) {
        return mCrashes.quarantined(now);
    }

    /** Returns, once, what peers should learn before they next ask. */
    List<CrashRecord> takePeerUpdate() {
        List<CrashRecord> urgent = List.copyOf(mPendingForPeers);
        mPendingForPeers.clear();
        return urgent;
    }

    /** Returns how far a peer's records are known here. */
    long peerVersion(String peer) {
        return mPeerVersions.getOrDefault(peer, 0L);
    }

    /** Takes a peer's answer. */
    void onPeerUpdate(Instant now, String peer, CrashDelta delta) {
        mPeerVersions.put(peer, delta.version());
        mCrashes.merge(now, delta.records());
    }

    /** Takes what a peer passed on ahead of its next answer. */
    void onPeerAnnouncement(Instant now, List<CrashRecord> records) {
        mCrashes.merge(now, records);
    }

    void expire(Instant now) {
        mCrashes.expire(now);
    }

    /** Writes what changed to the log. */
    void logDecisions(Instant now, Consumer<? super ControlEffect> effects) {
        mNotes.flush(now, d -> effects.accept(new ControlEffect.LogDecision(d)));
    }
}
