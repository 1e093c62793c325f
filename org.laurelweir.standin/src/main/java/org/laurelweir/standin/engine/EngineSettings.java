package org.laurelweir.standin.engine;

import java.util.List;
import org.laurelweir.standin.ListenSettings;

/**
 * The settings of an engine. Everything may be absent; times are in milliseconds.
 *
 * @param name begins the ids of the requests
 * @param listen where to listen; any port on the loopback address if absent
 * @param models the models loaded at the start
 * @param adapters the adapters loaded at the start
 * @param role the role at the start
 * @param batch how fast the engine is and how much it holds
 * @param answerTokens the tokens of an answer, unless the call allows fewer
 * @param tickMillis the time between two looks at the model
 * @param loadLagMillis how old a load report is
 * @param cacheEventLagMillis how late a cache event is published
 * @param cacheEventGapEvery each such cache event is lost; 0 for none
 * @param checkFence whether orders with an old fencing number are refused; yes if absent
 * @param loadMillis how long a model or adapter takes to load
 * @param executionsFile the file to which executions are appended, or null
 */
public record EngineSettings(
        String name,
        ListenSettings listen,
        List<String> models,
        List<String> adapters,
        String role,
        BatchSettings batch,
        Integer answerTokens,
        Integer tickMillis,
        int loadLagMillis,
        int cacheEventLagMillis,
        int cacheEventGapEvery,
        Boolean checkFence,
        int loadMillis,
        String executionsFile) {
    private static final int ANSWER_TOKENS = 64;
    private static final int TICK_MILLIS = 5;

    /** Fills in the defaults and refuses what is out of range. */
    public EngineSettings {
        name = name == null ? "engine" : name;
        listen = listen == null ? ListenSettings.LOOPBACK : listen;
        models = models == null ? List.of("standin") : List.copyOf(models);
        adapters = adapters == null ? List.of() : List.copyOf(adapters);
        role = role == null ? "mixed" : role;
        batch = batch == null ? BatchSettings.DEFAULT : batch;
        answerTokens = atLeast("answerTokens", 1, answerTokens, ANSWER_TOKENS);
        tickMillis = atLeast("tickMillis", 1, tickMillis, TICK_MILLIS);
        atLeast("loadLagMillis", 0, loadLagMillis, 0);
        atLeast("cacheEventLagMillis", 0, cacheEventLagMillis, 0);
        atLeast("cacheEventGapEvery", 0, cacheEventGapEvery, 0);
        atLeast("loadMillis", 0, loadMillis, 0);
        checkFence = checkFence == null || checkFence;
    }

    private static int atLeast(String key, int least, Integer value, int absent) {
        if (value == null) {
            return absent;
        }
        if (value < least) {
            throw new IllegalArgumentException(
                    key + " must be at least " + least + ", not " + value);
        }
        return value;
    }
}
