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
import org.laurelweir.quarantine.QuarantineLogger;
import org.laurelweir.quarantine.SuspectKey;

/**
 * Distributes crash records, which name the suspects under which backend servers crashed, between
 * routers and between control instances. Nothing is durable: after a restart, routers and peers
 * send their records again.
 */
final class CrashSharing {
    private final MembershipCursor mOwnRun;
    private final QuarantineLogger mQuarantineLogger = new QuarantineLogger(DecisionLogger.PROGRAM);
    private final CrashTable mCrashes;
    private final Map<String, Long> mPeerVersions = new HashMap<>();
    private final List<CrashRecord> mPendingForPeers = new ArrayList<>();

    CrashSharing(ControlConfig config) {
        mOwnRun = new MembershipCursor(config.name(), config.incarnation(), 0);
        mCrashes = new CrashTable(config.name(), mQuarantineLogger);
    }

    /**
     * Returns the crash records that a reader does not have yet.
     *
     * @param cursor names the run of the control instance that the reader's version belongs to
     * @param seen the version up to which the reader has the records of that run
     */
    CrashDelta deltaSince(Instant now, MembershipCursor cursor, long seen) {
        return mCrashes.since(now, cursor.isSameIncarnation(mOwnRun) ? seen : 0);
    }

    /** Merges records from a router. New ones go to the peers at once. */
    void onRouterReport(Instant now, List<CrashRecord> records) {
        if (mCrashes.merge(now, records)) {
            mPendingForPeers.addAll(records);
        }
    }

    /**
     * Releases a request or a part of prompts from quarantine.
     *
     * @return whether it was quarantined
     */
    boolean release(Instant now, SuspectKey key) {
        if (!mCrashes.isQuarantined(key)) {
            return false;
        }
        mCrashes.excuseAll(now, key);
        mCrashes.find(now, key).ifPresent(mPendingForPeers::add);
        return true;
    }

    /** Returns the number of quarantined suspects of a kind. */
    int quarantinedCount(SuspectKey.Kind kind) {
        return mCrashes.quarantinedCount(kind);
    }

    /** Returns the records of the quarantined requests and parts of prompts. */
    List<CrashRecord> quarantined(Instant now) {
        return mCrashes.quarantined(now);
    }

    /** Returns the records that go to the peers at once, and clears them. */
    List<CrashRecord> takePeerUpdate() {
        List<CrashRecord> pending = List.copyOf(mPendingForPeers);
        mPendingForPeers.clear();
        return pending;
    }

    /** Returns the version up to which this instance has a peer's records. */
    long peerVersion(String peer) {
        return mPeerVersions.getOrDefault(peer, 0L);
    }

    /** Merges the records from a peer's update. */
    void onPeerUpdate(Instant now, String peer, CrashDelta delta) {
        mPeerVersions.put(peer, delta.version());
        mCrashes.merge(now, delta.records());
    }

    /** Merges records that a peer has sent ahead of its next update. */
    void onPeerAnnouncement(Instant now, List<CrashRecord> records) {
        mCrashes.merge(now, records);
    }

    void expire(Instant now) {
        mCrashes.expire(now);
    }

    /** Logs the changes of quarantined requests as decisions. */
    void logDecisions(Instant now, Consumer<? super ControlEffect> effects) {
        mQuarantineLogger.flush(now, d -> effects.accept(new ControlEffect.LogDecision(d)));
    }
}
