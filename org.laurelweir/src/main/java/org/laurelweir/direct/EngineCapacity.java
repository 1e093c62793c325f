package org.laurelweir.direct;

/**
 * The capacity of each engine of a service.
 *
 * @param slots maximum number of requests that an engine runs concurrently; 0 for a service without
 *     engines
 * @param memoryTokens number of tokens that an engine's memory holds, for running requests and
 *     cached prompt parts together; 0 if the settings do not name it
 */
public record EngineCapacity(int slots, int memoryTokens) {
    /** The capacity of a service without engines. */
    public static final EngineCapacity NONE = new EngineCapacity(0, 0);

    /** Returns whether the service has engines. */
    public boolean isPresent() {
        return slots > 0;
    }
}
