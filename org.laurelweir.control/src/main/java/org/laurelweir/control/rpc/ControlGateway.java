package org.laurelweir.control.rpc;

import java.time.Instant;
import java.util.Map;
import java.util.function.Consumer;
import org.laurelweir.coordination.Command;
import org.laurelweir.coordination.ControlEffect.Answer;
import org.laurelweir.coordination.ControlEvent;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;

/**
 * What a program that embeds a control instance may ask of it, in place of calls over gRPC. Every
 * answer comes on the reducer's thread, exactly once, and must not block it.
 */
public final class ControlGateway {
    private final PendingCalls mCalls;
    private final Consumer<ControlEvent> mEvents;

    /**
     * Creates the gateway.
     *
     * @param calls where calls wait
     * @param events takes events, from any thread
     */
    public ControlGateway(PendingCalls calls, Consumer<ControlEvent> events) {
        mCalls = calls;
        mEvents = events;
    }

    /**
     * Passes on the announcement of a backend server without a sidecar.
     *
     * @param backend its session is the announcement's own number, its incarnation when it started
     * @param answer told once the announcement is taken
     */
    public void announce(Backend backend, Consumer<Answer> answer) {
        mEvents.accept(new ControlEvent.BackendAnnounced(mCalls.open(answer), backend));
    }

    /**
     * Passes on that a backend server without a sidecar leaves for good.
     *
     * @param backend its incarnation is when it started, 0 where it does not tell
     * @param answer an AnswerAnnounced once it is taken, or a Refuse where nothing is known of it
     */
    public void withdraw(BackendRef backend, Consumer<Answer> answer) {
        mEvents.accept(new ControlEvent.BackendWithdrawn(mCalls.open(answer), backend));
    }

    /**
     * Replaces the settings tree.
     *
     * @param revision the operator's number; the highest wins
     * @param nodes the values of every node by its path
     * @param source the operator's own text
     * @param answer an AnswerCommand, or a Refuse that says which instance to ask
     */
    public void replaceSettings(
            long revision,
            String author,
            Map<String, Map<String, String>> nodes,
            String source,
            Consumer<Answer> answer) {
        Command command =
                new Command.ReplaceSettings(Instant.EPOCH, revision, author, nodes, source);
        mEvents.accept(new ControlEvent.CommandReceived(mCalls.open(answer), command));
    }

    /**
     * Reads the operator's own text, the newest that was accepted.
     *
     * @param answer an AnswerSource, or a Refuse that says which instance to ask
     */
    public void readSource(Consumer<Answer> answer) {
        mEvents.accept(new ControlEvent.SourceRequested(mCalls.open(answer)));
    }
}
