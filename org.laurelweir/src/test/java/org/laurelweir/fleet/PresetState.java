package org.laurelweir.fleet;

import java.time.Instant;
import java.util.Map;
import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.Snapshot;
import org.laurelweir.coordination.Command;
import org.laurelweir.coordination.ControlState;
import org.laurelweir.coordination.LogCodec;

/**
 * A codec that decodes every snapshot as the state with some settings, and no commands. Those that
 * are proposed are never in a log, since no instance leads.
 */
final class PresetState implements LogCodec {
    /** A snapshot whose content is that state. */
    static final Snapshot SNAPSHOT = new Snapshot(1, 1, Membership.EMPTY, new byte[0]);

    private final ControlState mState = new ControlState(ControlState.Limits.DEFAULT);

    PresetState(Map<String, Map<String, String>> settings) {
        if (!settings.isEmpty()) {
            mState.apply(1, new Command.ReplaceSettings(Instant.EPOCH, 1, "test", settings, ""));
        }
    }

    @Override
    public ControlState.Snapshot decodeSnapshot(byte[] bytes) {
        return mState.snapshot();
    }

    @Override
    public byte[] encode(ControlState.Snapshot snapshot) {
        throw new UnsupportedOperationException();
    }

    @Override
    public byte[] encode(Command command) {
        return new byte[0];
    }

    @Override
    public Command decodeCommand(byte[] bytes) {
        throw new UnsupportedOperationException();
    }
}
