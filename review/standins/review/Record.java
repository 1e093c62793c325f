package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: what was sent, answered and run, with the time since the start. */
public final class Record implements AutoCloseable {
    private final long mStart = System.nanoTime();
    private final PrintWriter mOut;

    public Record(Path file) throws IOException {
        mOut = new PrintWriter(Files.newBufferedWriter(file));
    }

    public synchronized void line(String format, Object... args) {
        long ms = (System.nanoTime() - mStart) / 1_000_000;
        String text = String.format("%7d ms  %s", ms, args.length == 0 ? format : String.format(format, args));
        mOut.println(text);
        mOut.flush();
        if (System.getenv("VERBOSE") != null) {
            System.out.println(text);
        }
    }

    @Override
    public synchronized void close() {
        mOut.close();
    }
}
