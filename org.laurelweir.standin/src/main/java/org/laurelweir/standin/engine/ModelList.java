package org.laurelweir.standin.engine;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.stream.Stream;

/** The answer to {@code GET /v1/models}. */
record ModelList(String object, List<Model> data) {
    /** One loaded model or adapter, which calls may name. */
    record Model(
            String id, String object, long created, @JsonProperty("owned_by") String ownedBy) {}

    static ModelList of(EngineState.StateAnswer loaded) {
        return new ModelList(
                "list",
                Stream.concat(loaded.models().stream(), loaded.adapters().stream())
                        .map(id -> new Model(id, "model", 0, "standin"))
                        .toList());
    }
}
