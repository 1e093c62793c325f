package org.laurelweir.standin.load;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.runtime.process.Program;
import org.laurelweir.standin.Json;

/** Sends load to routers and prints a report. */
@Command(
        name = Main.NAME,
        description = "Plays returning chats and plain calls and checks each answer")
public final class Main {
    static final String NAME = "standin-load";

    private static final int FAILED_STATUS = 1;

    @Option(name = "--router", title = "URL", description = "A router's base address; repeatable")
    private List<String> mRouters = new ArrayList<>();

    @Option(
            name = "--key",
            title = "KEY",
            description = "A client account's bearer key, largest account first; repeatable")
    private List<String> mKeys = new ArrayList<>();

    @Option(
            name = "--unevenness",
            title = "POWER",
            description = "How uneven the accounts are: 0 for equal shares")
    private double mUnevenness = 1;

    @Option(name = "--model", title = "NAME", description = "The model that the chats name")
    private String mModel = "standin";

    @Option(name = "--chats", title = "N", description = "How many chats")
    private int mChats = 20;

    @Option(name = "--turns", title = "N", description = "How many calls each chat makes")
    private int mTurns = 4;

    @Option(
            name = "--pause-millis",
            title = "N",
            description = "From an answer to the chat's return")
    private long mPauseMillis;

    @Option(name = "--stream-share", title = "SHARE", description = "Streamed calls, 0 to 1")
    private double mStreamShare = 0.5;

    @Option(
            name = "--dossier-share",
            title = "SHARE",
            description = "Chats that begin with a dossier, 0 to 1")
    private double mDossierShare = 0.25;

    @Option(name = "--dossier-bytes", title = "N", description = "The size of a dossier")
    private int mDossierBytes = 24_000;

    @Option(name = "--max-tokens", title = "N", description = "The most tokens of an answer")
    private int mMaxTokens = 64;

    @Option(
            name = "--chat-header",
            title = "NAME",
            description = "A header by which every other chat names itself")
    private String mChatHeader;

    @Option(
            name = "--plain-path",
            title = "PATH",
            description = "The path of a plain service's resource; repeatable")
    private List<String> mPlainPaths = new ArrayList<>();

    @Option(name = "--plain-calls", title = "N", description = "How many plain calls")
    private int mPlainCalls;

    @Option(name = "--concurrency", title = "N", description = "The most requests at a time")
    private int mConcurrency = 16;

    @Option(name = "--seed", title = "N", description = "The seed of all content")
    private long mSeed = 1;

    @Option(
            name = "--retries",
            title = "N",
            description = "How often a refused request is sent again after its Retry-After")
    private int mRetries = 5;

    @Option(name = "--timeout-seconds", title = "N", description = "The limit of an attempt")
    private long mTimeoutSeconds = 60;

    @Option(
            name = "--engine",
            title = "URL",
            description = "An engine's base address, to work out skew; repeatable")
    private List<String> mEngines = new ArrayList<>();

    @Option(
            name = "--plain-service",
            title = "URL",
            description = "A plain service's base address, to find calls run twice; repeatable")
    private List<String> mPlainServices = new ArrayList<>();

    @Option(
            name = "--metrics",
            title = "URL",
            description = "A router's metrics page, to read its control bytes; repeatable")
    private List<String> mMetrics = new ArrayList<>();

    @Option(name = "--json", description = "Print the JSON only")
    private boolean mJson;

    @AirlineModule private HelpOption<Main> mHelp;

    /**
     * Runs the load. Exits with 0 if every request got its own complete answer and no plain call
     * ran twice, 1 if not, and with the exit code of the failure if the run could not start.
     */
    public static void main(String[] args) throws InterruptedException {
        try {
            System.exit(SingleCommand.singleCommand(Main.class).parse(args).run());
        } catch (ParseException e) {
            System.err.println(NAME + ": " + e.getMessage());
            System.exit(Program.exitCode(ResultCode.USAGE));
        } catch (LaurelweirException e) {
            System.err.println(NAME + ": " + e);
            System.exit(Program.exitCode(e.getCode()));
        }
    }

    private int run() throws InterruptedException {
        if (mHelp.showHelpIfRequested()) {
            return 0;
        }
        LoadPlan plan = plan();
        RunObserver.Targets targets =
                new RunObserver.Targets(uris(mEngines), uris(mPlainServices), uris(mMetrics));
        Report report = new LoadRun(plan).run(new RunObserver(targets));
        if (!mJson) {
            System.out.print(report.table());
        }
        System.out.println(Json.write(report));
        return report.isWhole() ? 0 : FAILED_STATUS;
    }

    private LoadPlan plan() {
        require(!mRouters.isEmpty(), "--router is needed");
        require(!mKeys.isEmpty(), "--key is needed");
        require(mPlainCalls == 0 || !mPlainPaths.isEmpty(), "--plain-calls needs --plain-path");
        require(mChats >= 0 && mTurns > 0 && mPlainCalls >= 0, "a count is below its minimum");
        require(mConcurrency > 0 && mMaxTokens > 0, "a count is below its minimum");
        require(mPauseMillis >= 0 && mTimeoutSeconds > 0, "a time is below its minimum");
        return new LoadPlan(
                uris(mRouters),
                new Accounts(mKeys, mUnevenness),
                new LoadPlan.Chats(
                        mModel,
                        mChats,
                        mTurns,
                        Duration.ofMillis(mPauseMillis),
                        mStreamShare,
                        mDossierShare,
                        mDossierBytes,
                        mMaxTokens,
                        mChatHeader),
                new LoadPlan.Plain(mPlainPaths, mPlainCalls),
                mConcurrency,
                mSeed,
                mRetries,
                Duration.ofSeconds(mTimeoutSeconds));
    }

    private static void require(boolean holds, String message) {
        if (!holds) {
            throw new LaurelweirException(ResultCode.USAGE, message);
        }
    }

    private static List<URI> uris(List<String> texts) {
        try {
            return texts.stream().map(URI::create).toList();
        } catch (IllegalArgumentException e) {
            throw new LaurelweirException(ResultCode.USAGE, e.getMessage(), e);
        }
    }
}
