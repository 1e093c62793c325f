package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.lib.Decision;

/**
 * Logs that an instance has had no leader for some time, which voters it hears, and whether a
 * quorum can return.
 */
final class LeaderlessLogger {
    /** Longer than an election in which the votes are split. */
    static final Duration LEADERLESS_TIME = Duration.ofSeconds(5);

    /** Minimum time between two lines whose content differs. */
    static final Duration CHANGE_INTERVAL = Duration.ofSeconds(5);

    /** Time between two lines with the same content. */
    static final Duration REPEAT_INTERVAL = Duration.ofSeconds(30);

    private Instant mLeaderlessSince;
    private Instant mLastLine;
    private Content mLastContent;

    /** Handles that a leader is known, and logs that if its absence was logged. */
    void onLeader(Instant now, ReplicaId leader, Consumer<? super ControlEffect> effects) {
        if (mLastLine != null) {
            String reason = "there was none for " + secondsSince(mLeaderlessSince, now) + " s";
            Decision decision = decision(now, List.of(leader), "LEADER_KNOWN", reason);
            effects.accept(new ControlEffect.LogDecision(decision));
        }
        mLeaderlessSince = null;
        mLastLine = null;
        mLastContent = null;
    }

    /** Handles that no leader is known. */
    void onNoLeader(Instant now, QuorumView view, Consumer<? super ControlEffect> effects) {
        if (mLeaderlessSince == null) {
            mLeaderlessSince = now;
        }
        Content content = new Content(view.verdict(), view.heardVoters(), view.lostVoters());
        if (!isDue(now, content)) {
            return;
        }
        mLastLine = now;
        mLastContent = content;
        String choice = content.verdict().name();
        Decision decision = decision(now, content.heard(), choice, reason(now, view, content));
        effects.accept(new ControlEffect.LogWarning(decision));
    }

    private boolean isDue(Instant now, Content content) {
        if (mLeaderlessSince.plus(LEADERLESS_TIME).isAfter(now)) {
            return false;
        }
        if (mLastLine == null) {
            return true;
        }
        Duration interval = content.equals(mLastContent) ? REPEAT_INTERVAL : CHANGE_INTERVAL;
        return !mLastLine.plus(interval).isAfter(now);
    }

    private String reason(Instant now, QuorumView view, Content content) {
        return String.format(
                "no leader for %d s; hears %d of %d voters, a quorum takes %d%s%s; %s",
                secondsSince(mLeaderlessSince, now),
                content.heard().size(),
                view.members().voters().size(),
                view.quorumSize(),
                listText("; silent: ", view.silentVoters()),
                listText("; disk lost: ", content.lost()),
                verdictText(content.verdict(), view));
    }

    private static String verdictText(QuorumView.Verdict verdict, QuorumView view) {
        return switch (verdict) {
            case NO_LEADER ->
                    view.reportedLeader()
                            .map(l -> l + " leads, and this instance gets no log from it")
                            .orElse("a quorum is heard, but it has no leader");
            case QUORUM_MISSING ->
                    "a quorum is missing until silent voters return with their disks";
            case QUORUM_LOST -> "a quorum is missing for good, as far as known here";
        };
    }

    private static String listText(String prefix, List<ReplicaId> ids) {
        return ids.isEmpty() ? "" : prefix + String.join(" ", names(ids));
    }

    private static List<String> names(List<ReplicaId> ids) {
        return ids.stream().map(ReplicaId::toString).collect(Collectors.toList());
    }

    private static long secondsSince(Instant since, Instant now) {
        return Duration.between(since, now).toSeconds();
    }

    private static Decision decision(
            Instant now, List<ReplicaId> candidates, String choice, String reason) {
        return Decision.builder(now, DecisionLogger.PROGRAM)
                .candidates(names(candidates))
                .choice(choice, reason)
                .build();
    }

    private record Content(
            QuorumView.Verdict verdict, List<ReplicaId> heard, List<ReplicaId> lost) {}
}
