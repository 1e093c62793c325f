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
    enum CallStep {
        REFUSE_CONNECTION,
        CONTINUE,
        BREAK_CONNECTION
    }

    private static final int PIECE_BYTES = 7;
    private static final int PIECE_COUNT = 5;

    private static final class Call {
        private boolean mAccepted;
        private boolean mHeadSent;
        private boolean mEnded;
        private int mPiecesSent;
    }

    private final Map<AttemptId, Call> mCalls = new HashMap<>();
    private final Map<AttemptId, Integer> mRunCounts = new HashMap<>();

    /** Takes a call from the sidecar. */
    void startCall(AttemptId id) {
        mCalls.put(id, new Call());
    }

    /** Returns how often an attempt really ran. */
    int runCount(AttemptId id) {
        return mRunCounts.getOrDefault(id, 0);
    }

    /** Returns the whole answer to an attempt. */
    static byte[] answer(AttemptId id) {
        byte[] whole = new byte[PIECE_BYTES * PIECE_COUNT];
        for (int i = 0; i < whole.length; i++) {
            whole[i] = (byte) (id.hashCode() * 31 + i);
        }
        return whole;
    }

    /** Does something with a call and returns what the sidecar hears, or null. */
    SidecarEvent perform(AttemptId id, CallStep act) {
        Call run = mCalls.get(id);
        if (run == null || run.mEnded) {
            return null;
        }
        if (act == CallStep.REFUSE_CONNECTION && !run.mAccepted) {
            run.mEnded = true;
            return new SidecarEvent.EngineFailed(id, false, "refused");
        }
        if (!run.mAccepted) {
            run.mAccepted = true;
            mRunCounts.merge(id, 1, Integer::sum);
        }
        if (act == CallStep.BREAK_CONNECTION) {
            run.mEnded = true;
            return new SidecarEvent.EngineFailed(id, true, "broken");
        }
        return continueCall(id, run);
    }

    private static SidecarEvent continueCall(AttemptId id, Call run) {
        if (!run.mHeadSent) {
            run.mHeadSent = true;
            return new SidecarEvent.EngineHeadReceived(id, 200, List.of());
        }
        if (run.mPiecesSent < PIECE_COUNT) {
            int from = PIECE_BYTES * run.mPiecesSent++;
            byte[] piece = Arrays.copyOfRange(answer(id), from, from + PIECE_BYTES);
            return new SidecarEvent.EngineDataReceived(id, piece);
        }
        run.mEnded = true;
        return new SidecarEvent.EngineFinished(id, Frame.Usage.NONE);
    }
}
