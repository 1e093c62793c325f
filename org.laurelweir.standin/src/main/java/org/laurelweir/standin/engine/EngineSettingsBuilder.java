package org.laurelweir.standin.engine;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.laurelweir.runtime.config.Endpoint;
import org.laurelweir.runtime.log.LogSettings;
import org.laurelweir.standin.ExecutionSettings;
import org.laurelweir.standin.engine.EngineSettings.Orders;
import org.laurelweir.standin.engine.EngineSettings.Reports;

/** Builds an engine's settings without a file. Values that are not set take the file's defaults. */
public final class EngineSettingsBuilder {
    private String mName = "engine";
    private List<String> mModels = List.of("standin");
    private int mAnswerTokens = 64;
    private Duration mTick = Duration.ofMillis(5);
    private BatchSettings mBatch = BatchSettings.DEFAULT;
    private Orders mOrders = new Orders(true, Duration.ZERO);

    EngineSettingsBuilder() {}

    /** Sets the prefix of the ids of requests. */
    public EngineSettingsBuilder name(String name) {
        mName = name;
        return this;
    }

    /** Sets the models loaded at the start; by default one named {@code standin}. */
    public EngineSettingsBuilder models(List<String> models) {
        mModels = List.copyOf(models);
        return this;
    }

    /** Sets the tokens of an answer, unless the call allows fewer. */
    public EngineSettingsBuilder answerTokens(int tokens) {
        mAnswerTokens = tokens;
        return this;
    }

    /** Sets the interval at which the model is advanced. */
    public EngineSettingsBuilder tick(Duration tick) {
        mTick = tick;
        return this;
    }

    /** Sets the speed and the limits of the engine. */
    public EngineSettingsBuilder batch(BatchSettings batch) {
        mBatch = batch;
        return this;
    }

    /** Sets how orders are applied. */
    public EngineSettingsBuilder orders(Orders orders) {
        mOrders = orders;
        return this;
    }

    /** Returns the settings of an engine on any port of the loopback address. */
    public EngineSettings build() {
        return new EngineSettings(
                mName,
                new Endpoint("127.0.0.1", 0),
                Optional.empty(),
                mModels,
                List.of(),
                "mixed",
                mAnswerTokens,
                mTick,
                mBatch,
                new Reports(Duration.ZERO, Duration.ZERO, 0),
                mOrders,
                ExecutionSettings.DEFAULT,
                LogSettings.defaults());
    }
}
