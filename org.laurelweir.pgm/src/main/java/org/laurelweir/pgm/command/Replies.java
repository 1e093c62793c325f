package org.laurelweir.pgm.command;

import java.util.List;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.pgm.fleet.ControlClient;
import org.laurelweir.pgm.tree.DocumentNode;
import org.laurelweir.wire.v1.ReadSettingsReply;

/** Turns replies with a result code other than OK into exceptions. */
final class Replies {
    private Replies() {}

    static void requireOk(int code, String message) {
        ResultCode result = ResultCode.of(code);
        if (result != ResultCode.OK) {
            throw new LaurelweirException(result, message);
        }
    }

    static ReadSettingsReply readSettings(ControlClient control, String path, long position) {
        ReadSettingsReply reply = control.readSettings(path, position);
        requireOk(reply.getCode(), reply.getMessage());
        return reply;
    }

    static List<DocumentNode> nodes(ReadSettingsReply reply) {
        return reply.getNodesList().stream()
                .filter(n -> !n.getDeleted())
                .map(DocumentNode::of)
                .toList();
    }
}
