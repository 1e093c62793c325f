package org.laurelweir.pgm.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.ArrayList;
import java.util.List;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.pgm.Console;
import org.laurelweir.pgm.PgmCommand;
import org.laurelweir.pgm.Texts;
import org.laurelweir.pgm.fleet.ControlClient;
import org.laurelweir.pgm.tree.DocumentNode;
import org.laurelweir.wire.v1.NodeChange;

/** Sets or removes keys of one settings node, or deletes the node. */
@Command(name = "set", description = Texts.SET)
public final class SettingsSet implements PgmCommand {
    private static final long NOT_GIVEN = -1;

    @AirlineModule private FleetOptions mFleet = new FleetOptions();
    @AirlineModule private SettingsChanger mChanger = new SettingsChanger();
    @AirlineModule private HelpFlag mHelp = new HelpFlag();

    @Option(name = "--unset", title = "KEY", description = Texts.OPTION_UNSET)
    private List<String> mUnset = new ArrayList<>();

    @Option(name = "--delete", description = Texts.OPTION_DELETE)
    private boolean mDelete;

    @Option(name = "--expect", title = "VERSION", description = Texts.OPTION_EXPECT)
    private long mExpected = NOT_GIVEN;

    @Required
    @Arguments(title = "PATH KEY=VALUE", description = Texts.ARGUMENTS_SET)
    private List<String> mArguments = new ArrayList<>();

    @Override
    public int run(Console console) {
        NodeChange.Builder change = NodeChange.newBuilder().setPath(mArguments.get(0));
        for (String pair : mArguments.subList(1, mArguments.size())) {
            int equals = pair.indexOf('=');
            if (equals < 1) {
                throw usage(String.format(Texts.NOT_A_PAIR, pair));
            }
            change.putSet(pair.substring(0, equals), pair.substring(equals + 1));
        }
        change.addAllRemove(mUnset).setDelete(mDelete);
        boolean hasKeys = change.getSetCount() + change.getRemoveCount() > 0;
        if (hasKeys == mDelete) {
            throw usage(mDelete ? Texts.DELETE_ALONE : Texts.NOTHING_TO_SET);
        }
        return mFleet.withFleet(
                console,
                f -> {
                    change.setExpectedVersion(expected(f.control(), change.getPath()));
                    List<NodeChange> changes = List.of(change.build());
                    return mChanger.change(f.control(), changes, console, mFleet.isJson());
                });
    }

    private long expected(ControlClient control, String path) {
        if (mExpected != NOT_GIVEN) {
            return mExpected;
        }
        return Replies.nodes(Replies.readSettings(control, path, 0)).stream()
                .mapToLong(DocumentNode::version)
                .findFirst()
                .orElse(0);
    }

    private static LaurelweirException usage(String message) {
        return new LaurelweirException(ResultCode.USAGE, message);
    }
}
