package org.laurelweir.runtime.log;

import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.laurelweir.lib.Service;

/**
 * The log of a program: Flogger for those who write, java.util.logging behind it, which gRPC and
 * Netty write to as well. A larger logging library behind Flogger took nearly half of the processor
 * time that a program needs from its start until it listens, and every restart pays for that.
 */
public final class Logging implements Service {
    private static final Logger ROOT = Logger.getLogger("");

    /** Netty and gRPC tell at FINE and INFO what only their developers need. */
    private static final Logger LIBRARIES = Logger.getLogger("io");

    private static volatile LogQueue sCurrent;

    private final LogSettings mSettings;
    private LogQueue mQueue;
    private OutputStream mFile;

    /**
     * Creates the log; nothing changes until it is started.
     *
     * @param settings how to log
     */
    public Logging(LogSettings settings) {
        mSettings = settings;
    }

    /** Puts the settings in force, also for loggers that exist already. */
    @Override
    public void start() {
        LineFormat format = new LineFormat(mSettings.format());
        mQueue = new LogQueue(output(), format::droppedLine);
        mQueue.start();
        sCurrent = mQueue;
        removeHandlers();
        LIBRARIES.setLevel(Level.WARNING);
        ROOT.setLevel(level());
        ROOT.addHandler(new QueueHandler(mQueue, format));
    }

    private OutputStream output() {
        if (mSettings.file().isEmpty()) {
            return mSettings.console() == LogSettings.Console.STDOUT ? System.out : System.err;
        }
        try {
            mFile = new FileOutputStream(mSettings.file().get().toFile(), true);
            return mFile;
        } catch (IOException e) {
            throw new UncheckedIOException("can't open the log", e);
        }
    }

    private Level level() {
        return switch (mSettings.level()) {
            case DEBUG -> Level.FINE;
            case INFO -> Level.INFO;
            case WARN -> Level.WARNING;
            case ERROR -> Level.SEVERE;
        };
    }

    private static void removeHandlers() {
        for (Handler h : ROOT.getHandlers()) {
            ROOT.removeHandler(h);
        }
    }

    /** Writes what is still queued, for a process that is about to end without a stop. */
    public static void flushBeforeHalt() {
        LogQueue current = sCurrent;
        if (current != null) {
            current.stop();
        }
    }

    /** Writes what is queued and closes the file; later lines are lost. */
    @Override
    public void stop() {
        removeHandlers();
        if (mQueue == null) {
            return;
        }
        mQueue.stop();
        if (mFile != null) {
            try {
                mFile.close();
            } catch (IOException e) {
                throw new UncheckedIOException("can't close the log", e);
            }
        }
    }

    /** Formats on the thread that logs, since fields may change later, and leaves the rest. */
    private static final class QueueHandler extends Handler {
        private final LogQueue mLines;
        private final LineFormat mFormat;

        QueueHandler(LogQueue lines, LineFormat format) {
            mLines = lines;
            mFormat = format;
        }

        @Override
        public void publish(LogRecord record) {
            boolean important = record.getLevel().intValue() >= Level.WARNING.intValue();
            mLines.put(mFormat.lineOf(record), important);
        }

        @Override
        public void flush() {
            // The writer flushes whenever it has written all that was there.
        }

        @Override
        public void close() {
            // Holds nothing.
        }
    }
}
