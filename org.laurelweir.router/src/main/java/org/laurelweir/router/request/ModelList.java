package org.laurelweir.router.request;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import org.laurelweir.settings.SettingKeys;
import org.laurelweir.settings.SettingsLookup;

/** Answers which models callers may name. */
public final class ModelList {
    /** Where models are listed, as the callers' tools expect it. */
    public static final String PATH = "/v1/models";

    private final SettingsLookup mSettings;

    /**
     * Creates the list.
     *
     * @param settings those in force
     */
    public ModelList(SettingsLookup settings) {
        mSettings = settings;
    }

    /** Made at the first use: its classes take about 90 ms, which a starting router needs. */
    private static final class Json {
        static final ObjectMapper MAPPER = new ObjectMapper();
    }

    private record Listing(String object, List<Model> data) {}

    /** One model; {@code created} is a number that clients insist on and that means nothing. */
    private record Model(String id, String object, long created, String owned_by) {}

    /** Returns the JSON body that lists every model, sorted by service. */
    public byte[] toJson() {
        List<Model> models =
                mSettings.tree().services().stream()
                        .flatMap(s -> modelsOf(s).stream().map(m -> model(m, s)))
                        .toList();
        try {
            return Json.MAPPER.writeValueAsBytes(new Listing("list", models));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a record of texts has a JSON form", e);
        }
    }

    private List<String> modelsOf(String service) {
        return mSettings.effective(service, null).get(SettingKeys.SERVICE_MODELS);
    }

    private static Model model(String id, String service) {
        return new Model(id, "model", 0, service);
    }
}
