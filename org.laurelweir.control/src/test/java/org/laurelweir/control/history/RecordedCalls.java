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
 * Simulates callers. Each executes one command after another and sends it again, to any instance,
 * until it knows the result. The calls are recorded as the callers saw them.
 */
final class RecordedCalls {
    private static final long ANSWER_TIMEOUT_MILLIS = 700;
    private static final long RETRY_MILLIS = 20;

    final List<Call> mCompleted = new ArrayList<>();
    private final SimulatedControls mControls;

    RecordedCalls(SimulatedControls controls) {
        mControls = controls;
    }

    /**
     * A completed command as its caller saw it.
     *
     * @param startedAt when the command was sent first
     * @param completedAt when the caller knew its result
     */
    record Call(long startedAt, long completedAt, Command command, CommandResult result) {}

    /**
     * Executes a command.
     *
     * @param then receives the command and its result
     */
    void execute(Command command, BiConsumer<Command, CommandResult> then) {
        new Sender(command, then).send();
    }

    private final class Sender {
        private final Command mCommand;
        private final BiConsumer<Command, CommandResult> mOnResult;
        private final long mStartedAt = mControls.now();
        private int mSends;

        Sender(Command command, BiConsumer<Command, CommandResult> then) {
            mCommand = command;
            mOnResult = then;
        }

        void send() {
            int send = ++mSends;
            List<Node> nodes = mControls.mNodes;
            nodes.get(mControls.mRandom.nextInt(nodes.size()))
                    .call(
                            call -> new ControlEvent.CommandReceived(call, mCommand),
                            answer -> onAnswer(send, answer));
            // The answer, or the instance with the call, may be lost.
            sendAgain(send, ANSWER_TIMEOUT_MILLIS);
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

        private void onAnswer(int send, Answer answer) {
            if (mSends < 0) {
                return;
            }
            if (answer instanceof ControlEffect.AnswerCommand a) {
                mSends = Integer.MIN_VALUE;
                mCompleted.add(new Call(mStartedAt, mControls.now(), mCommand, a.result()));
                mOnResult.accept(mCommand, a.result());
            } else {
                sendAgain(send, RETRY_MILLIS);
            }
        }
    }
}
