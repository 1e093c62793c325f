package org.laurelweir.benchmarks.steps;

import java.util.List;
import org.laurelweir.settings.SettingsDelta;
import org.laurelweir.settings.SettingsLookup;
import org.laurelweir.settings.SettingsReader;

/** Measures the steps of the replicated log and of a reader of the settings. */
final class LogSteps {
    private static final int[] VOTERS = {3, 5, 7};
    private static final int[] PAYLOADS = {200, 2_000, 20_000};
    private static final int[] ACCOUNTS = {1_000, 5_000, 19_000};

    private static final int[] RESOLVED_ACCOUNTS = {1_000, 4_000, 8_000};

    private LogSteps() {}

    static void report(Report out) {
        out.heading("replicated log: all replicas of a group together");
        out.steps("proposal of 200 B to its commit", "voters", VOTERS, n -> proposal(n, 200));
        out.steps("proposal to its commit, 3 voters", "bytes", PAYLOADS, n -> proposal(3, n));
        out.steps("tick (each 20 ms)", "voters", VOTERS, n -> new ReplicaGroup(n)::tick);
        out.heading("settings: a reader such as a router");
        out.steps("change of one node", "accounts", ACCOUNTS, LogSteps::change);
        out.steps("look-up after a change", "accounts", ACCOUNTS, n -> lookup(n, true));
        out.steps("look-up again", "accounts", ACCOUNTS, n -> lookup(n, false));
    }

    static void reportHeap(Report out) {
        out.heading("settings: heap of a reader");
        out.heap("client account's settings node", "accounts", ACCOUNTS, n -> () -> newReader(n));
        out.heap(
                "resolved settings of an account",
                "accounts",
                RESOLVED_ACCOUNTS,
                n -> () -> withResolvedAccounts(n));
    }

    private static Runnable proposal(int voters, int bytes) {
        ReplicaGroup group = new ReplicaGroup(voters);
        byte[] command = new byte[bytes];
        return () -> group.propose(command);
    }

    private static SettingsReader newReader(int accounts) {
        SettingsReader reader = new SettingsReader();
        reader.apply(new SettingsDelta(1, true, SampleData.accountNodes(accounts)));
        return reader;
    }

    private static SettingsLookup withResolvedAccounts(int accounts) {
        SettingsLookup lookup = new SettingsLookup("region-0", "data-centre-0");
        for (int i = 0; i < accounts; i++) {
            lookup.effective(SampleData.service(0), SampleData.account(i));
        }
        return lookup;
    }

    private static Runnable change(int accounts) {
        SettingsReader reader = newReader(accounts);
        int[] next = {1};
        return () -> {
            int position = ++next[0];
            reader.apply(
                    new SettingsDelta(
                            position,
                            false,
                            List.of(SampleData.accountNode(position % accounts, position))));
        };
    }

    private static Runnable lookup(int accounts, boolean changed) {
        SettingsReader reader = newReader(accounts);
        SettingsLookup lookup = new SettingsLookup("region-0", "data-centre-0");
        lookup.setTree(reader.tree());
        return () -> {
            if (changed) {
                lookup.setTree(reader.tree());
            }
            lookup.effective(SampleData.service(0), SampleData.account(accounts / 2));
        };
    }
}
