package org.laurelweir.pgm.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.file.Path;
import java.util.List;
import org.laurelweir.pgm.Texts;
import org.laurelweir.pgm.fleet.ControlClient;
import org.laurelweir.pgm.tree.NodeDifference;
import org.laurelweir.pgm.tree.SettingsDocument;
import org.laurelweir.pgm.tree.TreeComparison;

/** The options of commands that compare a tree file with the tree in force. */
public final class SettingsFileOptions {
    @Option(name = "--prune", description = Texts.OPTION_PRUNE)
    private boolean mPrune;

    @Required
    @Arguments(title = "FILE", description = Texts.ARGUMENT_TREE_FILE)
    private String mFile = "";

    List<NodeDifference> compare(ControlClient control) {
        return TreeComparison.differences(
                SettingsDocument.read(Path.of(mFile)),
                Replies.nodes(Replies.readSettings(control, "", 0)),
                mPrune);
    }
}
