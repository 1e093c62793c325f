package org.laurelweir.coordination;

/** The codec of a log that holds no commands and no snapshots. */
final class UnusedLogCodec implements LogCodec {
    @Override
    public byte[] encode(Command command) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Command decodeCommand(byte[] bytes) {
        throw new UnsupportedOperationException();
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
