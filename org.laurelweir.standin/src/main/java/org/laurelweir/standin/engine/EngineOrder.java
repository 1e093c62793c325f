package org.laurelweir.standin.engine;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * An order to the engine.
 *
 * @param kind what to do
 * @param name the model, adapter or role that it is about
 * @param fence the fencing number of whoever gives the order; absent is 0
 */
public record EngineOrder(Kind kind, String name, long fence) {
    /** The sorts of orders, by the names that stand in the JSON. */
    public enum Kind {
        @JsonProperty("load_model")
        LOAD_MODEL,
        @JsonProperty("unload_model")
        UNLOAD_MODEL,
        @JsonProperty("load_adapter")
        LOAD_ADAPTER,
        @JsonProperty("unload_adapter")
        UNLOAD_ADAPTER,
        @JsonProperty("set_role")
        SET_ROLE
    }
}
