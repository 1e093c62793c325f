package org.laurelweir.standin.engine;

import org.laurelweir.standin.Execution.Outcome;

/** An effect of the engine model, to be applied by its caller. */
public sealed interface EngineEffect {
    /** Returns the id of the request that this effect is about. */
    String id();

    /** The request entered the batch. */
    record Started(String id, int cachedTokens) implements EngineEffect {}

    /**
     * Tokens of the answer are ready, from index {@code from} (inclusive) to {@code to}
     * (exclusive).
     */
    record Produced(String id, int from, int to) implements EngineEffect {}

    /** The request ended. No effect follows unless it is resumed. */
    record Ended(String id, Outcome outcome, int outputTokens) implements EngineEffect {}

    /** The request was rejected because the queue is full. It was not run. */
    record Rejected(String id) implements EngineEffect {}

    /** A resume was rejected: the request is unknown, or it has no output at the offset. */
    record ResumeRejected(String id) implements EngineEffect {}

    /** The request was evicted and cannot be resumed. */
    record Forgotten(String id) implements EngineEffect {}
}
