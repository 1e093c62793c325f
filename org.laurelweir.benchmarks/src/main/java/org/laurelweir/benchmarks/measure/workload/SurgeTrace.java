package org.laurelweir.benchmarks.measure.workload;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.laurelweir.benchmarks.measure.Deployment;
import org.laurelweir.benchmarks.measure.Deployment.Surge;
import org.laurelweir.placement.ChatKey;

/**
 * Adds one client account's surge to a trace. All other turns stay the same, so that two runs
 * differ only in the surge.
 */
public final class SurgeTrace {
    private static final double MICROS_PER_MINUTE = 60e6;

    private SurgeTrace() {}

    /**
     * Returns the trace with a surge of new single-turn chats. Equal arguments give equal results.
     */
    public static Trace add(Trace trace, Deployment deployment, Surge surge, long seed) {
        int firstId = trace.turns().size() + trace.precedingTurns().size();
        long start = (long) (surge.startMinute() * MICROS_PER_MINUTE);
        List<Turn> turns = new ArrayList<>(trace.turns());
        for (Turn t : TraceGenerator.generate(surgeOnly(deployment, surge), seed).turns()) {
            int id = firstId + t.chat().id();
            ChatKey key = ChatKey.of("account-" + surge.account(), "chat-" + id);
            Chat chat = new Chat(id, key, t.chat().service(), surge.account());
            turns.add(
                    new Turn(
                            t.at() + start,
                            chat,
                            t.router(),
                            0,
                            t.prompt(),
                            t.output(),
                            t.deadline()));
        }
        turns.sort(Comparator.comparingLong(Turn::at).thenComparingInt(t -> t.chat().id()));
        return new Trace(trace.precedingTurns(), turns);
    }

    private static Deployment surgeOnly(Deployment d, Surge surge) {
        double addedShare = accountShare(d.accounts(), surge.account()) * (surge.factor() - 1);
        Deployment.Chats c = d.chats();
        return new Deployment(
                d.name(),
                d.routers(),
                d.requestsPerSecond() * addedShare,
                surge.minutes(),
                0,
                d.services(),
                new Deployment.Accounts(1, 0),
                new Deployment.Chats(
                        1,
                        c.user(),
                        c.output(),
                        c.opening(),
                        c.dossier(),
                        c.pauses(),
                        c.deadlineMillis(),
                        c.dossierDeadlineMillis()),
                d.engine(),
                d.bound(),
                d.lags(),
                d.churn(),
                List.of());
    }

    /** Returns an account's share of the requests without surges. */
    public static double accountShare(Deployment.Accounts accounts, int account) {
        double sum = 0;
        for (int i = 1; i <= accounts.count(); i++) {
            sum += Math.pow(i, -accounts.skew());
        }
        return Math.pow(account + 1, -accounts.skew()) / sum;
    }
}
