package org.laurelweir.standin.engine;

import java.time.Instant;

/** An event that the engine model processes. */
public sealed interface EngineEvent {
    /** Time has passed. */
    record Tick() implements EngineEvent {}

    /** The {@code cutAfter} of a request that is not to be cut. */
    int NO_CUT = Integer.MAX_VALUE;

    /** A request arrived. Its run is cut after {@code cutAfter} tokens. */
    record Submit(EngineRequest request, int cutAfter) implements EngineEvent {}

    /** The caller of a request closed its connection. */
    record Cancel(String id) implements EngineEvent {}

    /**
     * A caller asks for a request's output from an offset in tokens on. The run is cut when the
     * whole output has {@code cutAfter} tokens.
     */
    record Resume(String id, int offset, int cutAfter) implements EngineEvent {}

    /** The engine stops all progress until a time. */
    record Freeze(Instant until) implements EngineEvent {}

    /** A model or adapter was loaded or unloaded, which clears the prefix cache. */
    record DropCache() implements EngineEvent {}
}
