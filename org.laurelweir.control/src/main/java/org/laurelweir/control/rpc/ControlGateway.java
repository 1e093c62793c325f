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
 * The interface for a program that embeds a control instance, in place of calls over gRPC. Each
 * answer comes exactly once, on the reducer's thread, and the callback must not block.
 */
public final class ControlGateway {
    private final PendingCalls mCalls;
    private final Consumer<ControlEvent> mEvents;

    /**
     * Creates the gateway.
     *
     * @param calls registers the calls that wait for an answer
     * @param events receives events, from any thread
     */
    public ControlGateway(PendingCalls calls, Consumer<ControlEvent> events) {
        mCalls = calls;
        mEvents = events;
    }

    /**
     * Announces a backend server without a sidecar.
     *
     * @param backend its session is the number of the announcement, its incarnation the time when
     *     it started
     * @param answer receives an AnswerAnnounced once the announcement is applied; of a backend
     *     server that drains, an AnswerAnnounced or AnswerCommand once that is durable, or an
     *     AnswerError; with the code NOT_LEADER it names the instance to ask
     */
    public void announce(Backend backend, Consumer<Answer> answer) {
        mEvents.accept(new ControlEvent.BackendAnnounced(mCalls.open(answer), backend));
    }

    /**
     * Withdraws a backend server without a sidecar that leaves for good.
     *
     * @param backend its incarnation is the time when it started, 0 if unknown
     * @param answer receives an AnswerAnnounced or AnswerCommand once the withdrawal is durable, or
     *     an AnswerError, as if the backend server is unknown; with the code NOT_LEADER it names
     *     the instance to ask
     */
    public void withdraw(BackendRef backend, Consumer<Answer> answer) {
        mEvents.accept(new ControlEvent.BackendWithdrawn(mCalls.open(answer), backend));
    }

    /**
     * Replaces the settings tree.
     *
     * @param revision the operator's revision number; the highest wins
     * @param nodes the values of every node by its path
     * @param source the operator's own text
     * @param answer receives an AnswerCommand, or an AnswerError that names the instance to ask
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
     * Orders to drain a data centre, so that its backend servers get no new requests, or to undrain
     * it.
     *
     * @param answer receives an AnswerCommand once the order is durable, or an AnswerError; with
     *     the code NOT_LEADER it names the instance to ask
     */
    public void drainDataCentre(
            String dataCentre, boolean drain, String author, Consumer<Answer> answer) {
        Command command = new Command.DrainDataCentre(Instant.EPOCH, dataCentre, drain, author);
        mEvents.accept(new ControlEvent.CommandReceived(mCalls.open(answer), command));
    }

    /**
     * Reads the most recent text of an operator that was accepted.
     *
     * @param answer receives an AnswerSource, or an AnswerError that names the instance to ask
     */
    public void readSource(Consumer<Answer> answer) {
        mEvents.accept(new ControlEvent.SourceRequested(mCalls.open(answer)));
    }
}
