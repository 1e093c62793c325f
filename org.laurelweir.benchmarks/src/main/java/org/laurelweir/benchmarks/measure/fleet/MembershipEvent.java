package org.laurelweir.benchmarks.measure.fleet;

/**
 * Something that happens to an engine.
 *
 * @param at microseconds
 * @param kind what happens
 * @param service index of its service
 * @param engine its name
 */
public record MembershipEvent(long at, Kind kind, int service, String engine) {
    /** What can happen to an engine. */
    public enum Kind {
        /** It joins with an empty cache. */
        JOIN,
        /** It takes no new work and leaves when its requests have ended. */
        DRAIN,
        /** It stops without notice; its requests are lost. */
        CRASH,
        /** It vanishes from the views but runs on. */
        VANISH,
        /** It is seen again. */
        RETURN,
        /** The views drop it, after a crash or a drain. */
        DROP
    }
}
