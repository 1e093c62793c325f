package org.laurelweir.pgm.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.util.List;
import org.laurelweir.pgm.Console;
import org.laurelweir.pgm.PgmCommand;
import org.laurelweir.pgm.Texts;
import org.laurelweir.pgm.fleet.FleetConnection;
import org.laurelweir.pgm.tree.DocumentNode;
import org.laurelweir.pgm.tree.EffectiveView;
import org.laurelweir.pgm.tree.SettingsDocument;
import org.laurelweir.wire.v1.ReadSettingsReply;

/** Shows settings nodes, or the effective values for a path. */
@Command(name = "get", description = Texts.GET)
public final class SettingsGet implements PgmCommand {
    @AirlineModule private FleetOptions mFleet = new FleetOptions();
    @AirlineModule private HelpFlag mHelp = new HelpFlag();

    @Option(name = "--effective", description = Texts.OPTION_EFFECTIVE)
    private boolean mEffective;

    @Option(name = "--at", title = "POSITION", description = Texts.OPTION_POSITION)
    private long mPosition;

    @Arguments(title = "PATH", description = Texts.ARGUMENT_PATH_OR_ALL)
    private String mPath = "";

    /** The nodes, printed as JSON. */
    record Nodes(long position, List<DocumentNode> nodes) {}

    @Override
    public int run(Console console) {
        return mFleet.withFleet(
                console, f -> mEffective ? showEffective(f, console) : showNodes(f, console));
    }

    private int showNodes(FleetConnection fleet, Console console) {
        ReadSettingsReply reply = Replies.readSettings(fleet.control(), mPath, mPosition);
        List<DocumentNode> nodes = Replies.nodes(reply);
        if (mFleet.isJson()) {
            console.printJson(new Nodes(reply.getPosition(), nodes));
        } else if (!nodes.isEmpty()) {
            console.print(SettingsDocument.write(nodes).stripTrailing());
        }
        if (nodes.isEmpty() && !mPath.isEmpty()) {
            console.printMessage(String.format(Texts.NO_SUCH_NODE, mPath));
            return NEGATIVE;
        }
        return SUCCESS;
    }

    private int showEffective(FleetConnection fleet, Console console) {
        ReadSettingsReply reply = Replies.readSettings(fleet.control(), "", mPosition);
        EffectiveView view = EffectiveView.of(reply, mPath);
        if (mFleet.isJson()) {
            console.printJson(view);
        } else {
            console.print(view.lines());
        }
        return SUCCESS;
    }
}
