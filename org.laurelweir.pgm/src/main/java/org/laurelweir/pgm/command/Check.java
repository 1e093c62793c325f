package org.laurelweir.pgm.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.laurelweir.pgm.Console;
import org.laurelweir.pgm.PgmCommand;
import org.laurelweir.pgm.SettingsFiles;
import org.laurelweir.pgm.Texts;
import org.laurelweir.router.request.ModelList;
import org.laurelweir.runtime.config.SettingsFault;
import org.laurelweir.runtime.config.SettingsFile;
import org.laurelweir.runtime.config.TreeFile;

/** Checks settings files of any program without starting the program. */
@Command(name = "check", description = Texts.CHECK)
public final class Check implements PgmCommand {
    @AirlineModule private HelpFlag mHelp = new HelpFlag();

    @Option(name = "--json", description = Texts.OPTION_JSON)
    private boolean mJson;

    @Required
    @Arguments(title = "FILE", description = Texts.ARGUMENT_FILES)
    private List<String> mFiles = new ArrayList<>();

    /** The faults found, printed as JSON. */
    record Faults(List<SettingsFault> faults) {}

    @Override
    public int run(Console console) {
        List<SettingsFault> faults = new ArrayList<>();
        for (String file : mFiles) {
            List<SettingsFault> found = SettingsFile.check(SettingsFiles.SPECS, Path.of(file));
            faults.addAll(found);
            if (found.isEmpty() && !mJson) {
                console.print(String.format(Texts.NO_FAULT, file));
                printOverlaps(console, Path.of(file));
            }
        }
        if (mJson) {
            console.printJson(new Faults(faults));
        } else {
            faults.forEach(f -> console.print(f.toString()));
        }
        return faults.isEmpty() ? SUCCESS : NEGATIVE;
    }

    /** Names the routes that take requests which routers answer themselves elsewhere. */
    private static void printOverlaps(Console console, Path file) {
        if (!SettingsFile.isTree(file)) {
            return;
        }
        for (TreeFile.CoveringRoute r : TreeFile.routesThatCover(file, ModelList.PATH)) {
            console.print(
                    String.format(
                            Texts.OVERLAP, file, r.line(), r.node(), r.prefix(), ModelList.PATH));
        }
    }
}
