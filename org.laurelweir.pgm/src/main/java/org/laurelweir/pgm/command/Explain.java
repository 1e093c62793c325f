package org.laurelweir.pgm.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.pgm.Console;
import org.laurelweir.pgm.PgmCommand;
import org.laurelweir.pgm.Texts;
import org.laurelweir.pgm.fleet.DecisionReader;
import org.laurelweir.pgm.fleet.DecisionReader.SilentProgram;
import org.laurelweir.pgm.fleet.FleetConnection;
import org.laurelweir.wire.v1.Decision;
import org.laurelweir.wire.v1.ExplainRequest;
import org.laurelweir.wire.v1.ExplainUnsentRequest;

/** Shows the decisions of routers and sidecars for a request or a chat. */
@Command(name = "explain", description = Texts.EXPLAIN)
public final class Explain implements PgmCommand {
    @AirlineModule private FleetOptions mFleet = new FleetOptions();
    @AirlineModule private HelpFlag mHelp = new HelpFlag();

    @Option(name = "--limit", title = "COUNT", description = Texts.OPTION_LIMIT)
    private int mLimit = 20;

    @Option(name = "--host", title = "HOST", description = Texts.OPTION_HOST)
    private String mHost = "";

    @Option(name = "--path", title = "PATH", description = Texts.OPTION_REQUEST_PATH)
    private String mPath = "";

    @Option(name = "--account", title = "ACCOUNT", description = Texts.OPTION_REQUEST_ACCOUNT)
    private String mAccount = "";

    @Option(name = "--parts", title = "ID:N,...", description = Texts.OPTION_PARTS)
    private String mParts = "";

    @Option(name = "--tokens", title = "N,M", description = Texts.OPTION_TOKENS)
    private String mTokens = "";

    @Option(name = "--router", title = "NAME", description = Texts.OPTION_ROUTER)
    private String mRouter = "";

    @Option(name = "--format", title = "FORMAT", description = Texts.OPTION_FORMAT)
    private String mFormat = "";

    @Arguments(title = "SUBJECT", description = Texts.ARGUMENT_SUBJECT)
    private String mSubject = "";

    /** The decisions, printed as JSON, and the programs that gave no answer. */
    record Decisions(List<DecisionView> decisions, List<SilentProgram> silent) {}

    /** One decision with its inputs. */
    record DecisionView(
            String at,
            String program,
            String request,
            String chat,
            String account,
            String service,
            List<String> candidates,
            String choice,
            String reason,
            double load,
            double bound,
            String version) {
        static DecisionView of(Decision d) {
            return new DecisionView(
                    Instant.ofEpochMilli(d.getAtMillis()).toString(),
                    d.getProgram(),
                    d.getRequest(),
                    Long.toHexString(d.getChat()),
                    d.getAccount(),
                    d.getService(),
                    List.copyOf(d.getCandidatesList()),
                    d.getChoice(),
                    d.getReason(),
                    d.getLoad(),
                    d.getBound(),
                    d.getVersion());
        }

        List<String> lines() {
            return List.of(
                    String.format(Texts.DECISION, at, program, request, choice, reason),
                    String.format(
                            Locale.ROOT,
                            Texts.DECISION_INPUTS,
                            chat,
                            account,
                            service,
                            load,
                            bound,
                            version),
                    String.format(Texts.DECISION_CANDIDATES, String.join(", ", candidates)));
        }
    }

    @Override
    public int run(Console console) {
        boolean isJson = mFleet.isJson() || mFormat.equals("json");
        if (!mFormat.isEmpty() && !isJson && !mFormat.equals("text")) {
            throw new LaurelweirException(ResultCode.USAGE, Texts.UNKNOWN_FORMAT);
        }
        if (mHost.isEmpty() && mPath.isEmpty()) {
            return mFleet.withFleet(console, f -> show(f, console, isJson));
        }
        if (mHost.isEmpty() || !mPath.startsWith("/")) {
            throw new LaurelweirException(ResultCode.USAGE, Texts.HOST_AND_PATH);
        }
        ExplainUnsentRequest request =
                ExplainUnsentRequest.newBuilder()
                        .setHost(mHost)
                        .setPath(mPath)
                        .setAccount(mAccount)
                        .setPromptParts(mParts)
                        .setPromptTokens(mTokens)
                        .build();
        return mFleet.withFleet(
                console, f -> new UnsentRequest(f, mRouter).show(request, console, isJson));
    }

    private int show(FleetConnection fleet, Console console, boolean isJson) {
        ExplainRequest request =
                ExplainRequest.newBuilder().setSubject(mSubject).setLimit(mLimit).build();
        DecisionReader reader = fleet.decisions();
        List<DecisionView> decisions =
                reader.read(fleet.control().status(), request).stream()
                        .map(DecisionView::of)
                        .toList();
        if (isJson) {
            console.printJson(new Decisions(decisions, reader.silentPrograms()));
        } else {
            decisions.forEach(d -> console.print(d.lines()));
            reportSilentPrograms(reader.silentPrograms(), console);
        }
        if (decisions.isEmpty()) {
            console.printMessage(Texts.NO_DECISION);
            return NEGATIVE;
        }
        return SUCCESS;
    }

    private static void reportSilentPrograms(List<SilentProgram> silent, Console console) {
        silent.forEach(
                s ->
                        console.printMessage(
                                String.format(
                                        Texts.SILENT_PROGRAM, s.name(), s.address(), s.reason())));
    }
}
