package org.laurelweir.standin.engine;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.laurelweir.runtime.config.Endpoint;
import org.laurelweir.runtime.log.LogSettings;
import org.laurelweir.standin.ExecutionSettings;
import org.laurelweir.standin.engine.EngineSettings.Orders;
import org.laurelweir.standin.engine.EngineSettings.Reports;

/** Makes an engine's settings without a file; what is left out takes the file's defaults. */
public final class EngineSettingsBuilder {
    private String mName = "engine";
    private List<String> mModels = List.of("standin");
    private int mAnswerTokens = 64;
    private Duration mTick = Duration.ofMillis(5);
    private BatchSettings mBatch = BatchSettings.DEFAULT;
    private Orders mOrders = new Orders(true, Duration.ZERO);

    EngineSettingsBuilder() {}

    /** Sets what the ids of the requests begin with. */
    public EngineSettingsBuilder name(String name) {
        mName = name;
        return this;
    }

    /** Sets the models loaded at the start; one named {@code standin} if left out. */
    public EngineSettingsBuilder models(List<String> models) {
        mModels = List.copyOf(models);
        return this;
    }

    /** Sets the tokens of an answer. */
    public EngineSettingsBuilder answerTokens(int tokens) {
        mAnswerTokens = tokens;
        return this;
    }

    /** Sets the time between two looks at the model. */
    public EngineSettingsBuilder tick(Duration tick) {
        mTick = tick;
        return this;
    }

    /** Sets how fast the engine is and how much it holds. */
    public EngineSettingsBuilder batch(BatchSettings batch) {
        mBatch = batch;
        return this;
    }

    /** Sets how orders are carried out. */
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
