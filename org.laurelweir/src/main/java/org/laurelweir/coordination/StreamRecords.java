package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.laurelweir.coordination.ControlEvent.StreamOriginRecorded;
import org.laurelweir.coordination.ControlEvent.StreamOriginRequested;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.SharedMembership;
import org.laurelweir.resumption.BackendRun;
import org.laurelweir.resumption.OriginReport;
import org.laurelweir.resumption.StreamOrigins;
import org.laurelweir.resumption.StreamRecord;
import org.laurelweir.resumption.VersionHistory;

/**
 * Keeps for the routers which software version began each stream, so that a router that never saw a
 * stream can go on with it. A router that is killed takes only its own memory with it; an instance
 * with a disk has its records again after a restart.
 */
final class StreamRecords {
    private static final int MAX_RECORDS = 50_000;

    /**
     * How long versions, and the control instances that may have told a router of one, are
     * remembered. An instance that is cut off still tells the routers on its side.
     */
    private static final Duration RETENTION = Duration.ofMinutes(10);

    /** Peers that were in contact within this time are in contact now. */
    private static final Duration CONTACT_TIME = Duration.ofSeconds(5);

    private final ControlConfig mConfig;
    private final SharedMembership mMembership;
    private final ControlPeers mPeers;
    private final StreamOrigins mOrigins = new StreamOrigins(MAX_RECORDS);
    private final VersionHistory mVersions = new VersionHistory(RETENTION);
    private final Map<String, BackendRun> mLatestRuns = new HashMap<>();
    private final Map<String, Instant> mPeersHeard = new HashMap<>();
    private Instant mStarted;

    StreamRecords(ControlConfig config, SharedMembership membership, ControlPeers peers) {
        mConfig = config;
        mMembership = membership;
        mPeers = peers;
    }

    /** Sets the time of one step; the first one is the start of this instance. */
    void beginStep(Instant now) {
        if (mStarted == null) {
            mStarted = now;
        }
    }

    void onBackendChanged(Instant now, Backend b) {
        mVersions.onChanged(now, b);
        onAnnounced(b);
    }

    /** Notes the run of a backend server, also while the membership holds it back. */
    void onAnnounced(Backend b) {
        BackendRun known = mLatestRuns.get(b.ref().id());
        if (known == null || known.ref().incarnation() <= b.ref().incarnation()) {
            mLatestRuns.put(b.ref().id(), new BackendRun(b.ref(), b.version()));
        }
    }

    void record(Instant now, StreamOriginRecorded e, Consumer<? super ControlEffect> effects) {
        Optional<BackendRun> laterRun =
                Optional.ofNullable(mLatestRuns.get(e.server().id()))
                        .filter(run -> run.ref().incarnation() > e.server().incarnation());
        if (laterRun.isPresent()) {
            effects.accept(new ControlEffect.AnswerStreamRecorded(e.call(), laterRun));
            return;
        }
        StreamRecord record = new StreamRecord(e.stream(), e.origin(), e.retention());
        put(now, record);
        effects.accept(new ControlEffect.KeepStreamRecord(e.call(), record));
    }

    private void put(Instant now, StreamRecord r) {
        mOrigins.put(now, r.stream(), r.origin(), r.retention());
    }

    /** Confirms a record once it is kept. */
    void onKept(long call, Consumer<? super ControlEffect> effects) {
        effects.accept(new ControlEffect.AnswerStreamRecorded(call, Optional.empty()));
    }

    /**
     * Takes over the records of earlier runs. They are kept for their whole retention anew: how old
     * they are can't be told by a clock that may have been set, and they never change.
     */
    void restore(Instant now, List<StreamRecord> records) {
        records.forEach(r -> put(now, r));
    }

    void answer(Instant now, StreamOriginRequested e, Consumer<? super ControlEffect> effects) {
        OriginReport report =
                new OriginReport(
                        mOrigins.find(now, e.stream()),
                        mVersions.versions(now, e.service(), e.window()),
                        Duration.between(mStarted, now),
                        controls());
        effects.accept(new ControlEffect.AnswerStreamOrigin(e.call(), report));
    }

    private List<String> controls() {
        List<String> controls = new ArrayList<>(mPeersHeard.keySet());
        controls.add(mConfig.addresses().getOrDefault(mConfig.name(), mConfig.name()));
        return controls;
    }

    /** Notes the peers in contact, and removes what is out of date. To be called regularly. */
    void update(Instant now) {
        mPeers.addressesHeardSince(now.minus(CONTACT_TIME)).forEach(p -> mPeersHeard.put(p, now));
        mPeersHeard.values().removeIf(t -> t.plus(RETENTION).isBefore(now));
        mOrigins.expire(now);
        mVersions.prune(now, mMembership::knows);
        mLatestRuns.keySet().removeIf(id -> !mMembership.knows(id));
    }

    /** Returns the number of services whose backend servers have several versions now. */
    int mixedServiceCount() {
        return mVersions.mixedServiceCount();
    }

    /** Returns the number of streams whose origin is recorded here. */
    int size() {
        return mOrigins.size();
    }
}
