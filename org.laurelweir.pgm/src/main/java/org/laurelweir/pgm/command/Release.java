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
import org.laurelweir.wire.v1.ReleaseReply;
import org.laurelweir.wire.v1.ReleaseRequest;
import org.laurelweir.wire.v1.SuspectKind;

/**
 * Releases a request or a part of prompts from quarantine, so that servers may receive it again.
 */
@Command(name = "release", description = Texts.RELEASE)
public final class Release implements PgmCommand {
    private static final int HEXADECIMAL = 16;

    @AirlineModule private FleetOptions mFleet = new FleetOptions();
    @AirlineModule private HelpFlag mHelp = new HelpFlag();

    @Option(name = "--author", title = "NAME", description = Texts.OPTION_AUTHOR)
    private String mAuthor = "";

    @Option(name = "--account", title = "ACCOUNT", description = Texts.OPTION_ACCOUNT)
    private String mAccount = "";

    @Option(name = "--prompt-part", description = Texts.OPTION_PROMPT_PART)
    private boolean mPromptPart;

    @Required
    @Arguments(title = "FINGERPRINT", description = Texts.ARGUMENT_FINGERPRINT)
    private List<String> mFingerprint = new ArrayList<>();

    /** What was released, printed as JSON. */
    record Released(String kind, String account, String fingerprint) {}

    @Override
    public int run(Console console) {
        String fingerprint = mFingerprint.get(0);
        ReleaseRequest request =
                ReleaseRequest.newBuilder()
                        .setKind(kind())
                        .setAccount(mAccount)
                        .setFingerprint(parse(fingerprint))
                        .setAuthor(mAuthor.isEmpty() ? console.user() : mAuthor)
                        .build();
        return mFleet.withFleet(
                console,
                f -> {
                    ReleaseReply reply = f.control().release(request);
                    Replies.requireOk(reply.getCode(), reply.getMessage());
                    if (mFleet.isJson()) {
                        console.printJson(new Released(kindText(), mAccount, fingerprint));
                    } else {
                        console.print(String.format(Texts.RELEASED, kindText(), fingerprint));
                    }
                    return SUCCESS;
                });
    }

    private String kindText() {
        return mPromptPart ? Texts.PROMPT_PART : Texts.REQUEST;
    }

    private SuspectKind kind() {
        return mPromptPart
                ? SuspectKind.SUSPECT_KIND_PROMPT_PART
                : SuspectKind.SUSPECT_KIND_REQUEST;
    }

    private static long parse(String fingerprint) {
        try {
            return Long.parseUnsignedLong(fingerprint, HEXADECIMAL);
        } catch (NumberFormatException e) {
            String message = String.format(Texts.NOT_A_FINGERPRINT, fingerprint);
            throw new LaurelweirException(ResultCode.USAGE, message, e);
        }
    }
}
