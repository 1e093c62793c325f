package org.laurelweir.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import org.laurelweir.attempt.AttemptFrame;
import org.laurelweir.attempt.Frame;
import org.laurelweir.lib.AttemptId;

/** Checks the frames of one stream, as a router does, against the engine's answer. */
final class StreamCheck {
    private final AttemptId mAttempt;
    private final boolean mFromStart;
    private long mNextOffset;
    private boolean mHeadReceived;
    private boolean mEnded;

    /** Creates a check of a stream that asks for the output from an offset on. */
    StreamCheck(AttemptId attempt, long offset) {
        mAttempt = attempt;
        mNextOffset = offset;
        mFromStart = offset == 0;
    }

    void onFrame(AttemptFrame frame) {
        assertThat(mEnded).as("a frame after the last one: %s", frame).isFalse();
        assertThat(frame.attempt()).isEqualTo(mAttempt);
        Frame f = frame.frame();
        if (f instanceof Frame.Head) {
            mHeadReceived = true;
        } else if (f instanceof Frame.Data d) {
            checkData(d);
        } else if (f instanceof Frame.End e) {
            assertThat(e.length()).as("length").isEqualTo(mNextOffset);
            assertThat(e.length()).isEqualTo(FakeEngine.answer(mAttempt).length);
            mEnded = true;
        } else if (f instanceof Frame.Refused || f instanceof Frame.Failed) {
            mEnded = true;
        }
    }

    private void checkData(Frame.Data data) {
        assertThat(mHeadReceived || !mFromStart).as("data before the head").isTrue();
        assertThat(data.offset()).as("offset").isEqualTo(mNextOffset);
        mNextOffset += data.bytes().length;
        byte[] sent =
                Arrays.copyOfRange(
                        FakeEngine.answer(mAttempt), (int) data.offset(), (int) mNextOffset);
        assertThat(data.bytes()).isEqualTo(sent);
    }

    /** Returns the end offset of the output received so far. */
    long nextOffset() {
        return mNextOffset;
    }
}
