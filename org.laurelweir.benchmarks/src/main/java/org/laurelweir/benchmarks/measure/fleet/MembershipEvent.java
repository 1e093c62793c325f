package org.laurelweir.benchmarks.measure.fleet;

/**
 * A change of one engine's membership or state.
 *
 * @param at microseconds since the run began
 * @param kind the kind of change
 * @param service index of the engine's service
 * @param engine name of the engine
 */
public record MembershipEvent(long at, Kind kind, int service, String engine) {
    /** The kinds of changes. */
    public enum Kind {
        /** The engine joins with an empty cache. */
        JOIN,
        /** The engine drains: it takes no new work and leaves when its requests have ended. */
        DRAIN,
        /** The engine stops without notice; its requests are lost. */
        CRASH,
        /** The engine is removed from the views but keeps running. */
        VANISH,
        /** The engine is added to the views again after VANISH. */
        RETURN,
        /** The engine is removed from the views after a crash or a drain. */
        DROP
    }
}
