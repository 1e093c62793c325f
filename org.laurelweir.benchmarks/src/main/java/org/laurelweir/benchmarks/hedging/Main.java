package org.laurelweir.benchmarks.hedging;

import java.util.Locale;

/** Prints the comparison in docs/design/hedged-requests.md; each run prints the same. */
public final class Main {
    private static final long SEED = 41;
    private static final double SHARE = 0.05;

    private Main() {}

    /** Runs all scenarios. Without a limit the share has no effect. */
    public static void main(String[] args) {
        System.out.println("| Load | Way | 0.5 | 0.9 | 0.99 | 0.999 | Extra work | Refused |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
        for (Scenario s : Scenario.ALL) {
            for (Way way : Way.values()) {
                print(s, way, new ServiceModel(s, way, SHARE, SEED).run());
            }
        }
    }

    private static void print(Scenario s, Way way, ServiceModel.Outcome o) {
        System.out.println(
                String.format(
                        Locale.ROOT,
                        "| %s | %s | %.0f | %.0f | %.0f | %.0f | %.1f%% | %.1f%% |",
                        s.name(),
                        way.mName,
                        o.millis(0.5),
                        o.millis(0.9),
                        o.millis(0.99),
                        o.millis(0.999),
                        100 * o.extraWork(),
                        100 * o.refused()));
    }
}
