package org.laurelweir.admission;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.laurelweir.attempt.Frame;
import org.laurelweir.lib.AttemptId;

/**
 * A backend server that records what it really ran. It goes on with a call that was given up, so
 * that its late words reach the sidecar too.
 */
final class FakeEngine {
    /** What an engine does next with a call. */
    enum Act {
        REFUSE_CONNECTION,
        GO_ON,
        BREAK
    }

    private static final int PIECE = 7;
    private static final int PIECES = 5;

    private static final class Run {
        private boolean mAccepted;
        private boolean mAnswered;
        private boolean mOver;
        private int mPieces;
    }

    private final Map<AttemptId, Run> mRuns = new HashMap<>();
    private final Map<AttemptId, Integer> mRunCounts = new HashMap<>();

    /** Takes a call from the sidecar. */
    void called(AttemptId id) {
        mRuns.put(id, new Run());
    }

    /** Returns how often an attempt really ran. */
    int runCount(AttemptId id) {
        return mRunCounts.getOrDefault(id, 0);
    }

    /** Returns the whole answer to an attempt. */
    static byte[] answer(AttemptId id) {
        byte[] whole = new byte[PIECE * PIECES];
        for (int i = 0; i < whole.length; i++) {
            whole[i] = (byte) (id.hashCode() * 31 + i);
        }
        return whole;
    }

    /** Does something with a call and returns what the sidecar hears, or null. */
    SidecarEvent act(AttemptId id, Act act) {
        Run run = mRuns.get(id);
        if (run == null || run.mOver) {
            return null;
        }
        if (act == Act.REFUSE_CONNECTION && !run.mAccepted) {
            run.mOver = true;
            return new SidecarEvent.EngineFailed(id, false, "refused");
        }
        if (!run.mAccepted) {
            run.mAccepted = true;
            mRunCounts.merge(id, 1, Integer::sum);
        }
        if (act == Act.BREAK) {
            run.mOver = true;
            return new SidecarEvent.EngineFailed(id, true, "broken");
        }
        return goOn(id, run);
    }

    private static SidecarEvent goOn(AttemptId id, Run run) {
        if (!run.mAnswered) {
            run.mAnswered = true;
            return new SidecarEvent.EngineHeadReceived(id, 200, List.of());
        }
        if (run.mPieces < PIECES) {
            int from = PIECE * run.mPieces++;
            byte[] piece = Arrays.copyOfRange(answer(id), from, from + PIECE);
            return new SidecarEvent.EngineDataReceived(id, piece);
        }
        run.mOver = true;
        return new SidecarEvent.EngineFinished(id, Frame.Usage.NONE);
    }
}
