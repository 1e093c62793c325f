package org.laurelweir.runtime.log;

import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.MetadataKey;
import java.util.List;
import org.laurelweir.lib.Decision;

/** Writes one line for each routing or placement decision, its parts as fields of their own. */
public final class DecisionLog {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private static final MetadataKey<String> REQUEST = text("request");
    private static final MetadataKey<String> CHAT = text("chat");
    private static final MetadataKey<String> ACCOUNT = text("account");
    private static final MetadataKey<String> SERVICE = text("service");
    private static final MetadataKey<String> CANDIDATES = text("candidates");
    private static final MetadataKey<String> CHOICE = text("choice");
    private static final MetadataKey<String> REASON = text("reason");
    private static final MetadataKey<Double> LOAD = MetadataKey.single("load", Double.class);
    private static final MetadataKey<Double> BOUND = MetadataKey.single("bound", Double.class);
    private static final MetadataKey<Double> LOAD_AGE =
            MetadataKey.single("load_age_ms", Double.class);

    private DecisionLog() {}

    private static MetadataKey<String> text(String label) {
        return MetadataKey.single(label, String.class);
    }

    /**
     * Returns whether decisions are written at all, for callers that would assemble one in vain.
     */
    public static boolean isEnabled() {
        return sLogger.atInfo().isEnabled();
    }

    /**
     * Writes a decision. Left out are texts that are null or empty, numbers that are NaN, and chat
     * 0.
     *
     * @param d the decision
     */
    public static void write(Decision d) {
        sLogger.atInfo()
                .with(REQUEST, present(d.request()))
                .with(CHAT, d.chat() == 0 ? null : Long.toHexString(d.chat()))
                .with(ACCOUNT, present(d.account()))
                .with(SERVICE, present(d.service()))
                .with(CANDIDATES, joined(d.candidates()))
                .with(CHOICE, present(d.choice()))
                .with(REASON, present(d.reason()))
                .with(LOAD, number(d.load()))
                .with(BOUND, number(d.bound()))
                .with(LOAD_AGE, number(d.loadAgeMillis()))
                .log("%s decision", d.program());
    }

    private static String present(String text) {
        return text == null || text.isEmpty() ? null : text;
    }

    private static String joined(List<String> names) {
        return names.isEmpty() ? null : String.join(" ", names);
    }

    private static Double number(double value) {
        return Double.isNaN(value) ? null : value;
    }
}
