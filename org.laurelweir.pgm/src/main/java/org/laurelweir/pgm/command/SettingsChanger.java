package org.laurelweir.pgm.command;

import com.github.rvesse.airline.annotations.Option;
import java.util.List;
import java.util.UUID;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.pgm.Console;
import org.laurelweir.pgm.PgmCommand;
import org.laurelweir.pgm.Texts;
import org.laurelweir.pgm.fleet.ControlClient;
import org.laurelweir.pgm.tree.DocumentNode;
import org.laurelweir.wire.v1.ChangeSettingsReply;
import org.laurelweir.wire.v1.ChangeSettingsRequest;
import org.laurelweir.wire.v1.NodeChange;

/**
 * Sends changes of settings to control and prints the result. Each invocation has one change id,
 * which all its attempts use.
 */
public final class SettingsChanger {
    @Option(name = "--author", title = "NAME", description = Texts.OPTION_AUTHOR)
    private String mAuthor = "";

    @Option(name = "--change-id", title = "ID", description = Texts.OPTION_CHANGE_ID)
    private String mChangeId = "";

    /** The result of an accepted change, printed as JSON. */
    record Changed(long position, String changeId, List<DocumentNode> nodes) {}

    /**
     * Sends changes, of which either all are accepted or none.
     *
     * @return {@link PgmCommand#SUCCESS}
     * @throws LaurelweirException SETTINGS_CONFLICT with the values in force, SETTINGS_INVALID with
     *     every fault, or another code of control
     */
    int change(ControlClient control, List<NodeChange> changes, Console console, boolean json) {
        ChangeSettingsRequest request =
                ChangeSettingsRequest.newBuilder()
                        .setChangeId(changeId())
                        .setAuthor(mAuthor.isEmpty() ? console.user() : mAuthor)
                        .addAllChanges(changes)
                        .build();
        ChangeSettingsReply reply = send(control, request);
        if (ResultCode.of(reply.getCode()) != ResultCode.OK) {
            throw refusal(reply);
        }
        List<DocumentNode> nodes = reply.getNodesList().stream().map(DocumentNode::of).toList();
        if (json) {
            console.printJson(new Changed(reply.getPosition(), request.getChangeId(), nodes));
        } else {
            console.print(String.format(Texts.CHANGED, reply.getPosition(), request.getChangeId()));
        }
        return PgmCommand.SUCCESS;
    }

    private String changeId() {
        return mChangeId.isEmpty() ? UUID.randomUUID().toString() : mChangeId;
    }

    private static ChangeSettingsReply send(ControlClient control, ChangeSettingsRequest request) {
        try {
            return control.changeSettings(request);
        } catch (LaurelweirException e) {
            // Control may have accepted an attempt that got no answer. A resend is safe only under
            // the same id.
            throw new LaurelweirException(
                    e.getCode(),
                    String.format(Texts.NO_ANSWER_CHANGE, e.getMessage(), request.getChangeId()),
                    e);
        }
    }

    private static LaurelweirException refusal(ChangeSettingsReply reply) {
        StringBuilder message = new StringBuilder(Texts.NOT_ACCEPTED);
        reply.getFaultsList().forEach(f -> message.append('\n').append(f));
        if (ResultCode.of(reply.getCode()) == ResultCode.SETTINGS_CONFLICT) {
            reply.getNodesList()
                    .forEach(
                            n ->
                                    message.append('\n')
                                            .append(
                                                    String.format(
                                                            Texts.CONFLICT,
                                                            n.getPath(),
                                                            n.getVersion(),
                                                            n.getValuesMap())));
        }
        return new LaurelweirException(ResultCode.of(reply.getCode()), message.toString());
    }
}
