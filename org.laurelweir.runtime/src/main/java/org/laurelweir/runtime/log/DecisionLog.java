package org.laurelweir.runtime.log;

import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.MetadataKey;
import java.util.List;
import org.laurelweir.lib.Decision;

/**
 * Writes one log line for each routing or placement decision, with each part of the decision as a
 * separate field.
 */
public final class DecisionLog {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private static final MetadataKey<String> REQUEST = stringKey("request");
    private static final MetadataKey<String> CHAT = stringKey("chat");
    private static final MetadataKey<String> ACCOUNT = stringKey("account");
    private static final MetadataKey<String> SERVICE = stringKey("service");
    private static final MetadataKey<String> CANDIDATES = stringKey("candidates");
    private static final MetadataKey<String> CHOICE = stringKey("choice");
    private static final MetadataKey<String> REASON = stringKey("reason");
    private static final MetadataKey<String> VERSION = stringKey("version");
    private static final MetadataKey<Double> LOAD = MetadataKey.single("load", Double.class);
    private static final MetadataKey<Double> BOUND = MetadataKey.single("bound", Double.class);
    private static final MetadataKey<Double> LOAD_AGE =
            MetadataKey.single("load_age_ms", Double.class);

    private DecisionLog() {}

    private static MetadataKey<String> stringKey(String label) {
        return MetadataKey.single(label, String.class);
    }

    /** Returns whether decisions are logged. Callers check this before they build a decision. */
    public static boolean isEnabled() {
        return sLogger.atInfo().isEnabled();
    }

    /**
     * Writes a decision. Omits texts that are null or empty, numbers that are NaN, and a chat key
     * of 0.
     *
     * @param decision the decision
     */
    public static void write(Decision decision) {
        write(sLogger.atInfo(), decision);
    }

    /**
     * Writes a decision as a warning, which is kept longer than other lines if the log can't be
     * written fast enough.
     *
     * @param decision the decision
     */
    public static void writeWarning(Decision decision) {
        write(sLogger.atWarning(), decision);
    }

    private static void write(FluentLogger.Api line, Decision decision) {
        line.with(REQUEST, nullIfEmpty(decision.request()))
                .with(CHAT, decision.chat() == 0 ? null : Long.toHexString(decision.chat()))
                .with(ACCOUNT, nullIfEmpty(decision.account()))
                .with(SERVICE, nullIfEmpty(decision.service()))
                .with(CANDIDATES, joinOrNull(decision.candidates()))
                .with(CHOICE, nullIfEmpty(decision.choice()))
                .with(REASON, nullIfEmpty(decision.reason()))
                .with(VERSION, nullIfEmpty(decision.version()))
                .with(LOAD, nullIfNaN(decision.load()))
                .with(BOUND, nullIfNaN(decision.bound()))
                .with(LOAD_AGE, nullIfNaN(decision.loadAgeMillis()))
                .log("%s decision", decision.program());
    }

    private static String nullIfEmpty(String text) {
        return text == null || text.isEmpty() ? null : text;
    }

    private static String joinOrNull(List<String> names) {
        return names.isEmpty() ? null : String.join(" ", names);
    }

    private static Double nullIfNaN(double value) {
        return Double.isNaN(value) ? null : value;
    }
}
