package org.laurelweir.control.history;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.laurelweir.control.history.SimulatedControls.Node;
import org.laurelweir.coordination.Command;
import org.laurelweir.coordination.CommandResult;
import org.laurelweir.coordination.ControlEffect;
import org.laurelweir.coordination.ControlEffect.Answer;
import org.laurelweir.coordination.ControlEvent;

/**
 * Callers that each carry out one command after the other and send one again, to any instance,
 * until they know how it ended; what they saw is recorded.
 */
final class RecordedCalls {
    private static final long RESEND_MILLIS = 700;
    private static final long REFUSED_MILLIS = 20;

    final List<Call> mEnded = new ArrayList<>();
    private final SimulatedControls mControls;

    RecordedCalls(SimulatedControls controls) {
        mControls = controls;
    }

    /**
     * One command as its caller saw it.
     *
     * @param began when it was sent first
     * @param ended when its result was known
     */
    record Call(long began, long ended, Command command, CommandResult result) {}

    /** Carries a command out and passes it on with its result. */
    void carryOut(Command command, BiConsumer<Command, CommandResult> then) {
        new Sender(command, then).send();
    }

    private final class Sender {
        private final Command mCommand;
        private final BiConsumer<Command, CommandResult> mThen;
        private final long mBegan = mControls.now();
        private int mSends;

        Sender(Command command, BiConsumer<Command, CommandResult> then) {
            mCommand = command;
            mThen = then;
        }

        void send() {
            int send = ++mSends;
            List<Node> nodes = mControls.mNodes;
            nodes.get(mControls.mRandom.nextInt(nodes.size()))
                    .call(
                            call -> new ControlEvent.CommandReceived(call, mCommand),
                            answer -> take(send, answer));
            // The answer may be lost, or the instance with it.
            sendAgain(send, RESEND_MILLIS);
        }

        private void sendAgain(int send, long millis) {
            mControls.after(
                    millis,
                    () -> {
                        if (send == mSends) {
                            send();
                        }
                    });
        }

        private void take(int send, Answer answer) {
            if (mSends < 0) {
                return;
            }
            if (answer instanceof ControlEffect.AnswerCommand a) {
                mSends = Integer.MIN_VALUE;
                mEnded.add(new Call(mBegan, mControls.now(), mCommand, a.result()));
                mThen.accept(mCommand, a.result());
            } else {
                sendAgain(send, REFUSED_MILLIS);
            }
        }
    }
}
