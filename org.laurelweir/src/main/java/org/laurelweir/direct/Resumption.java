package org.laurelweir.direct;

/**
 * A caller's wish to go on with a stream that broke off.
 *
 * @param firstRequest the caller's id of the request that brought the first event of the stream, or
 *     empty if the caller does not name it
 * @param lastEvent the id of the last event that the caller has, or empty if it wants the answer
 *     from the start
 */
public record Resumption(String firstRequest, String lastEvent) {
    /** No wish: the request starts a stream, or its answer is none. */
    public static final Resumption NONE = new Resumption("", "");

    /** Returns whether the answer goes on after an event that the caller has. */
    public boolean isRequested() {
        return !lastEvent.isEmpty();
    }
}
