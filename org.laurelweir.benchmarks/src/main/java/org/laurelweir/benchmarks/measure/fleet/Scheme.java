package org.laurelweir.benchmarks.measure.fleet;

/**
 * A way to get a request from a router to an engine; the measure program compares schemes. A scheme
 * uses only the views, reports and engines that it could see in a real fleet. It finishes every
 * request by {@link Fleet#start} or {@link Fleet#reject}.
 */
public interface Scheme {
    /** Handles a request that arrives at its router. */
    void onArrival(Request request);

    /** Called when an engine has ended a request. */
    default void onEnd(Engine engine, Request request) {}

    /** Called when an engine joins with an empty cache, or returns after a flap. */
    default void onJoin(Engine engine) {}

    /** Called at the engine's sidecar when the engine starts to drain. */
    default void onDrain(Engine engine) {}

    /** Called when an engine is removed from the views, even if it keeps running. */
    default void onDrop(Engine engine) {}

    /** Returns the name of the engine that caches the chat's history when the run begins. */
    String initialEngine(Request request);
}
