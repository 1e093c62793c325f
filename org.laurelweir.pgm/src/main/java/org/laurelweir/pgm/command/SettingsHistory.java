package org.laurelweir.pgm.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.laurelweir.pgm.Console;
import org.laurelweir.pgm.PgmCommand;
import org.laurelweir.pgm.Texts;
import org.laurelweir.pgm.fleet.FleetConnection;
import org.laurelweir.wire.v1.HistoryEntry;
import org.laurelweir.wire.v1.HistoryReply;
import org.laurelweir.wire.v1.HistoryRequest;
import org.laurelweir.wire.v1.NodeChange;

/** Lists accepted changes of settings. */
@Command(name = "history", description = Texts.HISTORY)
public final class SettingsHistory implements PgmCommand {
    @AirlineModule private FleetOptions mFleet = new FleetOptions();
    @AirlineModule private HelpFlag mHelp = new HelpFlag();

    @Option(name = "--limit", title = "COUNT", description = Texts.OPTION_LIMIT)
    private int mLimit = 20;

    @Arguments(title = "PATH", description = Texts.ARGUMENT_PATH_OR_ALL)
    private String mPath = "";

    /** The accepted changes, printed as JSON. */
    record Entries(List<Entry> entries) {}

    /** One accepted change. */
    record Entry(long position, String at, String author, String changeId, List<NodeEntry> nodes) {
        static Entry of(HistoryEntry e) {
            return new Entry(
                    e.getPosition(),
                    Instant.ofEpochMilli(e.getAtMillis()).toString(),
                    e.getAuthor(),
                    e.getChangeId(),
                    e.getChangesList().stream().map(NodeEntry::of).toList());
        }

        List<String> lines() {
            List<String> lines = new ArrayList<>();
            lines.add(String.join(" ", Long.toString(position), at, author, changeId));
            nodes.forEach(n -> lines.addAll(n.lines()));
            return lines;
        }
    }

    /** The part of a change that concerns one node. */
    record NodeEntry(
            String path,
            long expectedVersion,
            Map<String, String> set,
            List<String> remove,
            boolean delete) {
        static NodeEntry of(NodeChange c) {
            return new NodeEntry(
                    c.getPath(),
                    c.getExpectedVersion(),
                    c.getSetMap(),
                    List.copyOf(c.getRemoveList()),
                    c.getDelete());
        }

        List<String> lines() {
            List<String> lines = new ArrayList<>();
            lines.add("  " + path + (delete ? " deleted" : ""));
            set.forEach((k, v) -> lines.add("  + " + k + ": " + v));
            remove.forEach(k -> lines.add("  - " + k));
            return lines;
        }
    }

    @Override
    public int run(Console console) {
        return mFleet.withFleet(console, f -> show(f, console));
    }

    private int show(FleetConnection fleet, Console console) {
        HistoryRequest request =
                HistoryRequest.newBuilder().setPath(mPath).setLimit(mLimit).build();
        HistoryReply reply = fleet.control().history(request);
        Replies.requireOk(reply.getCode(), "");
        List<Entry> entries = reply.getEntriesList().stream().map(Entry::of).toList();
        if (mFleet.isJson()) {
            console.printJson(new Entries(entries));
        } else {
            entries.forEach(e -> console.print(e.lines()));
        }
        return SUCCESS;
    }
}
