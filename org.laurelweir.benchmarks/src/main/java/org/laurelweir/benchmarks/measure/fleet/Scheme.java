package org.laurelweir.benchmarks.measure.fleet;

/**
 * What is compared: how a request gets from a router to an engine. A scheme sees the fleet through
 * the views, reports and engines that it would have in truth, and ends each request by {@link
 * Fleet#start} or {@link Fleet#reject}.
 */
public interface Scheme {
    /** Takes a request at its router. */
    void onArrival(Request request);

    /** Learns that an engine has ended a request. */
    default void onEnd(Engine engine, Request request) {}

    /** Learns that an engine joined, with an empty cache, or came back after a flap. */
    default void onJoin(Engine engine) {}

    /** Learns, as the sidecar beside it, that an engine is to drain. */
    default void onDrain(Engine engine) {}

    /** Learns that an engine is dropped from the views, also if it is only out of sight. */
    default void onDrop(Engine engine) {}

    /** Returns the name of the engine that caches the chat's history when the run begins. */
    String initialEngine(Request request);
}
