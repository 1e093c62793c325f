package org.laurelweir.standin.engine;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * An order to change what the engine has loaded or its role.
 *
 * @param kind the sort of the order
 * @param name the model, adapter or role that it is about
 * @param fence the fencing token of the sender; 0 if absent
 */
public record EngineOrder(Kind kind, String name, long fence) {
    /** The sorts of orders, by their names in the JSON. */
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
