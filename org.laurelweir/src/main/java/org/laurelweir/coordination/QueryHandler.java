package org.laurelweir.coordination;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.laurelweir.coordination.ControlEffect.AnswerError;
import org.laurelweir.coordination.ControlEffect.AnswerHistory;
import org.laurelweir.coordination.ControlEffect.AnswerSettings;
import org.laurelweir.coordination.ControlEffect.AnswerSource;
import org.laurelweir.coordination.ControlEffect.AnswerStatus;
import org.laurelweir.coordination.ControlEvent.HistoryRequested;
import org.laurelweir.coordination.ControlEvent.SettingsRequested;
import org.laurelweir.coordination.ControlEvent.SourceRequested;
import org.laurelweir.coordination.ControlEvent.StatusRequested;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.membership.SharedMembership;
import org.laurelweir.quarantine.SuspectKey;
import org.laurelweir.settings.NodePath;
import org.laurelweir.settings.SettingsNode;
import org.laurelweir.settings.SettingsStore;
import org.laurelweir.settings.SettingsTree;

/** Answers requests to read settings, the history of changes and the status of the fleet. */
final class QueryHandler {
    private final SharedMembership mMembership;
    private final LogReplica mReplica;
    private final RouterTable mRouters;
    private final CrashSharing mCrashSharing;
    private final LoadSharing mLoadSharing;
    private final PeerStatuses mPeerStatuses;
    private final QuorumMonitor mQuorumMonitor;
    private final StreamRecords mStreamRecords;

    QueryHandler(
            SharedMembership membership,
            LogReplica replica,
            RouterTable routers,
            CrashSharing crashSharing,
            LoadSharing loadSharing,
            PeerStatuses peerStatuses,
            QuorumMonitor quorumMonitor,
            StreamRecords streamRecords) {
        mStreamRecords = streamRecords;
        mQuorumMonitor = quorumMonitor;
        mCrashSharing = crashSharing;
        mLoadSharing = loadSharing;
        mMembership = membership;
        mReplica = replica;
        mRouters = routers;
        mPeerStatuses = peerStatuses;
    }

    void answer(Instant now, SettingsRequested e, Consumer<? super ControlEffect> effects) {
        if (e.linearizable()) {
            mReplica.read(now, e.call(), () -> answerNow(e, effects), effects);
        } else {
            answerNow(e, effects);
        }
    }

    private void answerNow(SettingsRequested e, Consumer<? super ControlEffect> effects) {
        SettingsTree tree = mReplica.state().settings().tree();
        if (e.position() > 0) {
            Optional<SettingsTree> earlier = mReplica.state().settings().treeAt(e.position());
            if (earlier.isEmpty() || e.position() > tree.position()) {
                String message = "position " + e.position() + " is not kept here";
                effects.accept(new AnswerError(e.call(), ResultCode.BAD_REQUEST, message, ""));
                return;
            }
            tree = earlier.get();
        }
        effects.accept(new AnswerSettings(e.call(), tree.position(), nodes(tree, e.path())));
    }

    private static List<SettingsNode> nodes(SettingsTree tree, NodePath path) {
        return path == null ? tree.nodes() : tree.node(path).map(List::of).orElse(List.of());
    }

    void answer(Instant now, SourceRequested e, Consumer<? super ControlEffect> effects) {
        Runnable answer =
                () -> {
                    SettingsStore settings = mReplica.state().settings();
                    effects.accept(
                            new AnswerSource(e.call(), settings.revision(), settings.source()));
                };
        mReplica.read(now, e.call(), answer, effects);
    }

    void answer(HistoryRequested e, Consumer<? super ControlEffect> effects) {
        effects.accept(
                new AnswerHistory(
                        e.call(),
                        mReplica.state()
                                .settings()
                                .history(Optional.ofNullable(e.path()), e.limit())));
    }

    ControlEffect.ReportStatus statusReport(Instant now, List<String> peers) {
        return new ControlEffect.ReportStatus(
                mQuorumMonitor.status(now),
                mMembership.sessionCount(),
                mMembership.backendCount(),
                mReplica.state().claimCount(),
                mCrashSharing.quarantinedCount(SuspectKey.Kind.REQUEST),
                mCrashSharing.quarantinedCount(SuspectKey.Kind.PROMPT_PART),
                mReplica.state().drainedDataCentres().names().size(),
                mLoadSharing.requestCount(),
                mStreamRecords.size(),
                mStreamRecords.mixedServiceCount(),
                mReplica.state().settings().tree().position(),
                mReplica.logBytes(),
                mReplica.snapshotBytes(),
                peers);
    }

    void answer(Instant now, StatusRequested e, Consumer<? super ControlEffect> effects) {
        List<ControlInstanceStatus> controls = new ArrayList<>();
        controls.add(mQuorumMonitor.status(now));
        controls.addAll(mPeerStatuses.recent(now));
        List<BackendServerStatus> backends =
                mMembership.backends().stream()
                        .map(
                                b ->
                                        new BackendServerStatus(
                                                b,
                                                mMembership.lastReport(b.ref().id()),
                                                mReplica.state().isDrainOrdered(b.ref().id())))
                        .toList();
        effects.accept(
                new AnswerStatus(
                        e.call(),
                        new FleetStatus(
                                controls,
                                backends,
                                mRouters.all(),
                                mMembership.loads(),
                                mCrashSharing.quarantined(now),
                                mReplica.state().dataCentreDrains(),
                                mReplica.state().settings().tree().position())));
    }
}
