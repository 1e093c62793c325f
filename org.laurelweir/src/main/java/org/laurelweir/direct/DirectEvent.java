package org.laurelweir.direct;

import java.util.List;
import java.util.Optional;
import org.laurelweir.answer.ServerNotice;
import org.laurelweir.attempt.Header;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.resumption.BackendRun;
import org.laurelweir.resumption.OriginAnswer;

/** An input of {@link DirectRouting}, which assigns the numbers of calls. */
public sealed interface DirectEvent {
    /** A caller's request has been received completely. */
    record RequestArrived(long caller, RoutedRequest request) implements DirectEvent {}

    /**
     * An operator asks what would happen to a request now. Nothing is sent, and nothing changes.
     *
     * @param query the number of the query in the effect with its result
     */
    record ExplanationRequested(long query, RoutedRequest request) implements DirectEvent {}

    /** The caller closed its connection. */
    record CallerGone(long caller) implements DirectEvent {}

    /** The caller stopped reading its answer, with much of it sent, or reads again. */
    record CallerBlocked(long caller, boolean blocked) implements DirectEvent {}

    /**
     * A backend server said something of itself in the head of an answer, whichever call that
     * belongs to.
     */
    record ServerNoticed(BackendRef server, ServerNotice notice) implements DirectEvent {}

    /** The head of a backend server's answer has arrived. */
    record HeadReceived(long call, int status, List<Header> headers, AnswerMetadata metadata)
            implements DirectEvent {}

    /** A piece of the answer's body has arrived. */
    record DataReceived(long call, byte[] bytes) implements DirectEvent {}

    /** The answer is complete by the rules of HTTP. */
    record Finished(long call) implements DirectEvent {}

    /** How a call ended that has no complete answer. */
    enum Failure {
        /** No byte of the request was sent to the backend server. */
        NOT_SENT,
        /** The same: the backend server asked for backoff after it had been chosen. */
        WITHHELD,
        /** The backend server closed the connection after it may have received the request. */
        CONNECTION_LOST,
        /** The backend server told the end of an answer that is not complete. */
        INCOMPLETE,
        /** This router aborted the call after the backend server may have received the request. */
        ABANDONED;

        /** Returns whether the backend server may have received the request. */
        boolean isPossiblySent() {
            return this != NOT_SENT && this != WITHHELD;
        }
    }

    /**
     * The call ended without a complete answer.
     *
     * @param message the reason, for the log and the caller
     */
    record Failed(long call, Failure failure, String message) implements DirectEvent {}

    /** How a backend server reacts to a new connection. */
    enum Reachability {
        ACCEPTS,
        /** Nothing listens at its address. */
        REFUSES,
        /** There was no reaction in time, or the network reported another error. */
        UNKNOWN
    }

    /** The result of a {@link DirectEffect.CheckBackend}. */
    record BackendChecked(long check, Reachability result) implements DirectEvent {}

    /**
     * The result of a {@link DirectEffect.RecordStream}.
     *
     * @param stored whether at least one control instance has the record
     * @param laterRun a later run of the backend server, which answers in place of the one meant;
     *     nothing is recorded then
     */
    record StreamRecorded(long record, boolean stored, Optional<BackendRun> laterRun)
            implements DirectEvent {}

    /** The result of a {@link DirectEffect.FindStream}. */
    record StreamFound(long lookup, OriginAnswer answer) implements DirectEvent {}

    /** Time has passed; sent regularly. */
    record Tick() implements DirectEvent {}
}
