package org.laurelweir.admission;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.laurelweir.attempt.Frame;
import org.laurelweir.lib.AttemptId;

/**
 * A backend server that records which calls ran. It continues cancelled calls, so that late events
 * reach the sidecar too.
 */
final class FakeEngine {
    /** The next step of the engine in a call. */
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

    /** Starts a call from the sidecar. */
    void startCall(AttemptId id) {
        mCalls.put(id, new Call());
    }

    /** Returns how many times an attempt ran. */
    int runCount(AttemptId id) {
        return mRunCounts.getOrDefault(id, 0);
    }

    /** Returns the complete answer to an attempt. */
    static byte[] answer(AttemptId id) {
        byte[] bytes = new byte[PIECE_BYTES * PIECE_COUNT];
        for (int i = 0; i < bytes.length; i++) {
            bytes[i] = (byte) (id.hashCode() * 31 + i);
        }
        return bytes;
    }

    /**
     * Performs a step of a call and returns the resulting event for the sidecar, or null if the
     * call has ended.
     */
    SidecarEvent perform(AttemptId id, CallStep step) {
        Call call = mCalls.get(id);
        if (call == null || call.mEnded) {
            return null;
        }
        if (step == CallStep.REFUSE_CONNECTION && !call.mAccepted) {
            call.mEnded = true;
            return new SidecarEvent.EngineFailed(id, false, "refused");
        }
        if (!call.mAccepted) {
            call.mAccepted = true;
            mRunCounts.merge(id, 1, Integer::sum);
        }
        if (step == CallStep.BREAK_CONNECTION) {
            call.mEnded = true;
            return new SidecarEvent.EngineFailed(id, true, "broken");
        }
        return continueCall(id, call);
    }

    private static SidecarEvent continueCall(AttemptId id, Call call) {
        if (!call.mHeadSent) {
            call.mHeadSent = true;
            return new SidecarEvent.EngineHeadReceived(id, 200, List.of());
        }
        if (call.mPiecesSent < PIECE_COUNT) {
            int from = PIECE_BYTES * call.mPiecesSent++;
            byte[] piece = Arrays.copyOfRange(answer(id), from, from + PIECE_BYTES);
            return new SidecarEvent.EngineDataReceived(id, piece);
        }
        call.mEnded = true;
        return new SidecarEvent.EngineFinished(id, Frame.Usage.NONE);
    }
}
