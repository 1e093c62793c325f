package org.laurelweir.coordination;

/** Encodes and decodes the commands and snapshots of the replicated log. */
public interface LogCodec {
    /** Returns the encoded command. */
    byte[] encode(Command command);

    /**
     * Returns the decoded command.
     *
     * @throws org.laurelweir.errors.LaurelweirException LOG_CORRUPT if the bytes are not a valid
     *     command
     */
    Command decodeCommand(byte[] bytes);

    /** Returns the encoded snapshot. Equal snapshots have equal encodings. */
    byte[] encode(ControlState.Snapshot snapshot);

    /**
     * Returns the decoded snapshot.
     *
     * @throws org.laurelweir.errors.LaurelweirException SNAPSHOT_CORRUPT if the bytes are not a
     *     valid snapshot
     */
    ControlState.Snapshot decodeSnapshot(byte[] bytes);
}
