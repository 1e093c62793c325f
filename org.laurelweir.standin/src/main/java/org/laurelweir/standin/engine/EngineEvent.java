package org.laurelweir.standin.engine;

import java.time.Instant;

/** What happens to the engine model. */
public sealed interface EngineEvent {
    /** Time has passed. */
    record Tick() implements EngineEvent {}

    /** The {@code cutAfter} of a request that is not to be cut. */
    int NO_CUT = Integer.MAX_VALUE;

    /** A request arrived; its run is cut once it has so many tokens. */
    record Submit(EngineRequest request, int cutAfter) implements EngineEvent {}

    /** The caller of a request is gone. */
    record Cancel(String id) implements EngineEvent {}

    /**
     * A caller wants a request's output again from an offset in tokens, and what follows it; the
     * run is cut once the output has so many tokens from its begin.
     */
    record Resume(String id, int offset, int cutAfter) implements EngineEvent {}

    /** The engine makes no progress until a time. */
    record Freeze(Instant until) implements EngineEvent {}

    /** Another model was loaded or unloaded: its cached blocks are gone. */
    record DropCache() implements EngineEvent {}
}
