package org.laurelweir.direct;

import java.util.List;
import org.laurelweir.attempt.Header;

/** What happens to requests that are routed without sidecars. Calls are numbered by the reducer. */
public sealed interface DirectEvent {
    /** A caller's request has been read whole. */
    record Arrived(long caller, RoutedRequest request) implements DirectEvent {}

    /** The caller hung up. */
    record CallerGone(long caller) implements DirectEvent {}

    /** The head of a backend server's answer arrived. */
    record HeadReceived(long call, int status, List<Header> headers, AnswerMetadata facts)
            implements DirectEvent {}

    /** A piece of the answer's body arrived. */
    record DataReceived(long call, byte[] bytes) implements DirectEvent {}

    /** The answer is whole, by the rules of HTTP. */
    record Finished(long call) implements DirectEvent {}

    /** How far a call came that ended without a whole answer. */
    enum Failure {
        /** No byte of it reached the backend server. */
        NOT_SENT,
        /** The connection ended on the backend server's side while it had the request. */
        CONNECTION_LOST,
        /** It may have reached the backend server, and was ended on this side. */
        ABANDONED
    }

    /**
     * The call ended without a whole answer.
     *
     * @param message why, for the log
     */
    record Failed(long call, Failure failure, String message) implements DirectEvent {}

    /** Time has passed. */
    record Tick() implements DirectEvent {}
}
