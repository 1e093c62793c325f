package org.laurelweir.runtime.rpc;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;

/**
 * Tells scripts and tests which port the operating system chose: a file with the decimal number and
 * a line end. It appears whole or not at all, so that its presence means that the port listens.
 */
public final class PortFile {
    private PortFile() {}

    /**
     * Writes a port.
     *
     * @param file where; its folder is made where it is missing
     * @param port the port that listens
     * @throws LaurelweirException CANNOT_LISTEN if the file can't be written
     */
    public static void write(Path file, int port) {
        Path target = file.toAbsolutePath();
        Path draft = target.resolveSibling(target.getFileName() + ".new");
        try {
            Files.createDirectories(target.getParent());
            Files.writeString(draft, port + "\n");
            Files.move(draft, target, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            throw new LaurelweirException(
                    ResultCode.CANNOT_LISTEN, "cannot write port file " + file, e);
        }
    }
}
