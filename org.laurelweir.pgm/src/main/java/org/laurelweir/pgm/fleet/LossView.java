package org.laurelweir.pgm.fleet;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.laurelweir.pgm.Texts;
import org.laurelweir.wire.v1.ControlStatus;
import org.laurelweir.wire.v1.LossTolerance;
import org.laurelweir.wire.v1.MissingVoter;

/**
 * How many voters the log can lose, as the leader of the newest term tells it.
 *
 * @param leader the replica that leads
 * @param now the number as of now
 * @param possible the number if all voters were well
 * @param promised the number that the settings promise; null if they promise nothing
 * @param missing the voters that don't count now
 */
public record LossView(
        String leader, int now, int possible, Integer promised, List<Missing> missing) {

    /**
     * A voter that doesn't count now.
     *
     * @param cause SILENT, BEHIND or DISK_LOST
     * @param silentSeconds time since its last reply in seconds
     */
    record Missing(String replica, String cause, long silentSeconds) {
        static Missing of(MissingVoter m) {
            return new Missing(
                    Replicas.text(m.getVoter()),
                    m.getCause().name(),
                    TimeUnit.MILLISECONDS.toSeconds(m.getSilentMillis()));
        }

        String text() {
            return switch (cause) {
                case "DISK_LOST" -> String.format(Texts.VOTER_LOST_DISK, replica);
                case "BEHIND" -> String.format(Texts.VOTER_BEHIND, replica);
                default -> String.format(Texts.VOTER_SILENT, replica, silentSeconds);
            };
        }
    }

    /** Returns the view, or null if no instance tells it, as without a leader. */
    static LossView of(List<ControlStatus> controls) {
        return controls.stream()
                .filter(c -> c.getLeader() && c.hasLossTolerance())
                .max(Comparator.comparingLong(ControlStatus::getTerm))
                .map(c -> of(Replicas.text(c.getReplica()), c.getLossTolerance()))
                .orElse(null);
    }

    private static LossView of(String leader, LossTolerance t) {
        return new LossView(
                leader,
                t.getNow(),
                t.getPossible(),
                t.hasPromised() ? t.getPromised() : null,
                t.getMissingList().stream().map(Missing::of).toList());
    }

    /** Returns the view as one line. */
    String line() {
        String line =
                promised != null
                        ? String.format(Texts.LOSSES_PROMISED, now, promised)
                        : String.format(Texts.LOSSES_POSSIBLE, now, possible);
        if (promised != null && possible < promised) {
            line += String.format(Texts.LOSSES_TOO_FEW_VOTERS, possible);
        }
        if (!missing.isEmpty()) {
            line +=
                    missing.stream()
                            .map(Missing::text)
                            .collect(Collectors.joining(", ", Texts.LOSSES_MISSING, ""));
        }
        return line;
    }
}
