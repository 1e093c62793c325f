package org.laurelweir.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import org.laurelweir.attempt.AttemptFrame;
import org.laurelweir.attempt.Frame;
import org.laurelweir.lib.AttemptId;

/** Checks the frames of one stream as a router would, against what the engine sends. */
final class StreamCheck {
    private final AttemptId mAttempt;
    private final boolean mFromStart;
    private long mNext;
    private boolean mHead;
    private boolean mOver;

    /** Creates the check of a stream that wants the output from an offset on. */
    StreamCheck(AttemptId attempt, long offset) {
        mAttempt = attempt;
        mNext = offset;
        mFromStart = offset == 0;
    }

    void take(AttemptFrame frame) {
        assertThat(mOver).as("a frame after the last one: %s", frame).isFalse();
        assertThat(frame.attempt()).isEqualTo(mAttempt);
        Frame f = frame.frame();
        if (f instanceof Frame.Head) {
            mHead = true;
        } else if (f instanceof Frame.Data d) {
            data(d);
        } else if (f instanceof Frame.End e) {
            assertThat(e.length()).as("length").isEqualTo(mNext);
            assertThat(e.length()).isEqualTo(FakeEngine.answer(mAttempt).length);
            mOver = true;
        } else if (f instanceof Frame.Refused || f instanceof Frame.Failed) {
            mOver = true;
        }
    }

    private void data(Frame.Data data) {
        assertThat(mHead || !mFromStart).as("data before the head").isTrue();
        assertThat(data.offset()).as("offset").isEqualTo(mNext);
        mNext += data.bytes().length;
        byte[] sent =
                Arrays.copyOfRange(FakeEngine.answer(mAttempt), (int) data.offset(), (int) mNext);
        assertThat(data.bytes()).isEqualTo(sent);
    }

    /** Returns the offset up to which the stream has brought the output. */
    long next() {
        return mNext;
    }
}
