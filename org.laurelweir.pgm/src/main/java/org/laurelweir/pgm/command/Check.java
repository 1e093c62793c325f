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
import org.laurelweir.runtime.config.SettingsFault;
import org.laurelweir.runtime.config.SettingsFile;

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
            }
        }
        if (mJson) {
            console.printJson(new Faults(faults));
        } else {
            faults.forEach(f -> console.print(f.toString()));
        }
        return faults.isEmpty() ? SUCCESS : NEGATIVE;
    }
}
