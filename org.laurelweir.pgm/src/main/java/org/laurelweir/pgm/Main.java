package org.laurelweir.pgm;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.pgm.command.Check;
import org.laurelweir.pgm.command.Completion;
import org.laurelweir.pgm.command.DataCentreDrain;
import org.laurelweir.pgm.command.DataCentreList;
import org.laurelweir.pgm.command.DataCentreUndrain;
import org.laurelweir.pgm.command.Drain;
import org.laurelweir.pgm.command.Explain;
import org.laurelweir.pgm.command.Order;
import org.laurelweir.pgm.command.Release;
import org.laurelweir.pgm.command.ReplicaAdd;
import org.laurelweir.pgm.command.ReplicaPromote;
import org.laurelweir.pgm.command.ReplicaRemove;
import org.laurelweir.pgm.command.ReplicaReplace;
import org.laurelweir.pgm.command.SettingsApply;
import org.laurelweir.pgm.command.SettingsDiff;
import org.laurelweir.pgm.command.SettingsEdit;
import org.laurelweir.pgm.command.SettingsGet;
import org.laurelweir.pgm.command.SettingsHistory;
import org.laurelweir.pgm.command.SettingsSet;
import org.laurelweir.pgm.command.Status;
import org.laurelweir.pgm.command.Undrain;
import org.laurelweir.runtime.log.LogSettings;
import org.laurelweir.runtime.log.Logging;
import org.laurelweir.runtime.process.Program;

/** The entry point of the command line. */
public final class Main {
    private static final List<String> HELP_OPTIONS = List.of("-h", "--help");
    private static final String HELP = "help";
    private static final List<String> GROUPS =
            List.of(Texts.DATA_CENTRE, Texts.REPLICA, Texts.SETTINGS);

    private final Console mConsole;
    private final Cli<PgmCommand> mCli = newCli();

    /** Creates a command line that writes to a console. */
    public Main(Console console) {
        mConsole = console;
    }

    /** Runs one command and exits with its status. */
    public static void main(String[] args) {
        new Logging(
                        new LogSettings(
                                LogSettings.Format.PLAIN,
                                LogSettings.Level.ERROR,
                                Optional.empty()))
                .start();
        Console console = new Console(System.out, System.err, System.getenv());
        System.exit(new Main(console).run(args));
    }

    /**
     * Runs one command.
     *
     * @param args the command line
     * @return the exit status: 0 for success, 1 for a difference, a fault or nothing found, else
     *     the exit status of the result code as docs/CODES.md lists it
     */
    public int run(String... args) {
        List<String> words = new ArrayList<>(List.of(args));
        try {
            if (removeHelpRequest(words)) {
                Help.help(mCli.getMetadata(), commandWords(words), mConsole.out());
                return PgmCommand.SUCCESS;
            }
            return mCli.parse(words.toArray(String[]::new)).run(mConsole);
        } catch (LaurelweirException e) {
            mConsole.printMessage(Texts.PROGRAM + ": " + e);
            return Program.exitCode(e.getCode());
        } catch (ParseException e) {
            mConsole.printMessage(Texts.PROGRAM + ": " + e.getMessage());
            return Program.exitCode(ResultCode.USAGE);
        } catch (IOException e) {
            return Program.exitCode(ResultCode.INTERNAL);
        }
    }

    /** Removes the words that request help, and returns whether help is requested. */
    private static boolean removeHelpRequest(List<String> words) {
        if (words.isEmpty()) {
            return true;
        }
        if (words.get(0).equals(HELP)) {
            words.remove(0);
            return true;
        }
        return words.removeIf(HELP_OPTIONS::contains);
    }

    /** Returns the leading words that name a command, without options and arguments. */
    private static List<String> commandWords(List<String> words) {
        boolean inGroup = !words.isEmpty() && GROUPS.contains(words.get(0));
        return words.subList(0, Math.min(words.size(), inGroup ? 2 : 1));
    }

    private static Cli<PgmCommand> newCli() {
        CliBuilder<PgmCommand> cli =
                Cli.<PgmCommand>builder(Texts.PROGRAM)
                        .withDescription(Texts.PROGRAM_DESCRIPTION)
                        .withCommand(Check.class)
                        .withCommand(Completion.class)
                        .withCommand(Drain.class)
                        .withCommand(Explain.class)
                        .withCommand(Order.class)
                        .withCommand(Release.class)
                        .withCommand(Status.class)
                        .withCommand(Undrain.class);
        cli.withGroup(Texts.SETTINGS)
                .withDescription(Texts.SETTINGS_GROUP)
                .withCommand(SettingsApply.class)
                .withCommand(SettingsDiff.class)
                .withCommand(SettingsEdit.class)
                .withCommand(SettingsGet.class)
                .withCommand(SettingsHistory.class)
                .withCommand(SettingsSet.class);
        cli.withGroup(Texts.DATA_CENTRE)
                .withDescription(Texts.DATA_CENTRE_GROUP)
                .withCommand(DataCentreDrain.class)
                .withCommand(DataCentreList.class)
                .withCommand(DataCentreUndrain.class);
        cli.withGroup(Texts.REPLICA)
                .withDescription(Texts.REPLICA_GROUP)
                .withCommand(ReplicaAdd.class)
                .withCommand(ReplicaPromote.class)
                .withCommand(ReplicaRemove.class)
                .withCommand(ReplicaReplace.class);
        return cli.build();
    }
}
