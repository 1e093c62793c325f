package org.laurelweir.coordination;

/** How commands and snapshots are written into the replicated log. */
public interface LogCodec {
    /** Returns the bytes of a command. */
    byte[] encode(Command command);

    /**
     * Returns the command that bytes hold.
     *
     * @throws org.laurelweir.errors.LaurelweirException LOG_CORRUPT if they hold none
     */
    Command decodeCommand(byte[] bytes);

    /** Returns the bytes of a snapshot; equal snapshots give equal bytes. */
    byte[] encode(ControlState.Snapshot snapshot);

    /**
     * Returns the snapshot that bytes hold.
     *
     * @throws org.laurelweir.errors.LaurelweirException SNAPSHOT_CORRUPT if they hold none
     */
    ControlState.Snapshot decodeSnapshot(byte[] bytes);
}
