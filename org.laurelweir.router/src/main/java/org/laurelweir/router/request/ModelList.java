package org.laurelweir.router.request;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import org.laurelweir.settings.SettingKeys;
import org.laurelweir.settings.SettingsLookup;

/** Lists the models that callers may name. */
public final class ModelList {
    /** Path of the model list that chat-completions clients expect. */
    public static final String PATH = "/v1/models";

    private final SettingsLookup mSettings;

    /**
     * Creates the list.
     *
     * @param settings the settings in force
     */
    public ModelList(SettingsLookup settings) {
        mSettings = settings;
    }

    /** Created on first use: loading its classes takes about 90 ms, which would delay the start. */
    private static final class Json {
        static final ObjectMapper MAPPER = new ObjectMapper();
    }

    private record Listing(String object, List<Model> data) {}

    /** One model. Clients require {@code created}, but the number has no meaning here. */
    private record Model(String id, String object, long created, String owned_by) {}

    /** Returns a JSON body with every model, sorted by service. */
    public byte[] toJson() {
        List<Model> models =
                mSettings.tree().services().stream()
                        .flatMap(s -> modelsOf(s).stream().map(m -> model(m, s)))
                        .toList();
        try {
            return Json.MAPPER.writeValueAsBytes(new Listing("list", models));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("can't serialize the list of models", e);
        }
    }

    private List<String> modelsOf(String service) {
        return mSettings.effective(service, null).get(SettingKeys.SERVICE_MODELS);
    }

    private static Model model(String id, String service) {
        return new Model(id, "model", 0, service);
    }
}
