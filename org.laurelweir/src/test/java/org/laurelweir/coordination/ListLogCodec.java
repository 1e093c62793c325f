package org.laurelweir.coordination;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** A codec that keeps the commands of the log in a list and encodes their positions. */
final class ListLogCodec implements LogCodec {
    private final List<Command> mCommands = new ArrayList<>();

    @Override
    public byte[] encode(Command command) {
        mCommands.add(command);
        return ByteBuffer.allocate(Integer.BYTES).putInt(mCommands.size() - 1).array();
    }

    @Override
    public Command decodeCommand(byte[] bytes) {
        return mCommands.get(ByteBuffer.wrap(bytes).getInt());
    }

    @Override
    public byte[] encode(ControlState.Snapshot snapshot) {
        throw new UnsupportedOperationException();
    }

    @Override
    public ControlState.Snapshot decodeSnapshot(byte[] bytes) {
        throw new UnsupportedOperationException();
    }
}
