package org.laurelweir.runtime.rpc;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;

/**
 * Writes the file from which scripts and tests read the port that the operating system chose: the
 * decimal number and a line end. The file appears atomically, and its presence means that the port
 * listens.
 */
public final class PortFile {
    private PortFile() {}

    /**
     * Writes a port file.
     *
     * @param file path of the file; its folder is created if it is missing
     * @param port the port that listens
     * @throws LaurelweirException CANNOT_LISTEN if the file can't be written
     */
    public static void write(Path file, int port) {
        Path target = file.toAbsolutePath();
        Path temporary = target.resolveSibling(target.getFileName() + ".new");
        try {
            Files.createDirectories(target.getParent());
            Files.writeString(temporary, port + "\n");
            Files.move(temporary, target, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            throw new LaurelweirException(
                    ResultCode.CANNOT_LISTEN, "cannot write port file " + file, e);
        }
    }
}
