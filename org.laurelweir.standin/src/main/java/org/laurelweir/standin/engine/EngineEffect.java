package org.laurelweir.standin.engine;

import org.laurelweir.standin.Execution.Outcome;

/** What the engine model has its shell do. */
public sealed interface EngineEffect {
    /** Returns the request that this concerns. */
    String id();

    /** The request entered the batch. */
    record Started(String id, int cachedTokens) implements EngineEffect {}

    /** Tokens of the answer are ready: from an index up to, and without, another. */
    record Produced(String id, int from, int to) implements EngineEffect {}

    /** The request is over; nothing more follows unless it is resumed. */
    record Ended(String id, Outcome how, int outputTokens) implements EngineEffect {}

    /** The request was not taken, as too many wait; it was not run. */
    record Rejected(String id) implements EngineEffect {}

    /** There is nothing to resume, or not at this offset. */
    record NotKept(String id) implements EngineEffect {}

    /** The request can't be resumed any more. */
    record Forgotten(String id) implements EngineEffect {}
}
