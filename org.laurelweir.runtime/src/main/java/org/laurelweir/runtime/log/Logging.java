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
 * Configures a program's log. Program code logs through Flogger, which writes to java.util.logging;
 * gRPC and Netty log there too. A larger logging library behind Flogger takes nearly half of the
 * processor time between a program's start and its first listening socket, on every restart.
 */
public final class Logging implements Service {
    private static final Logger ROOT_LOGGER = Logger.getLogger("");

    /**
     * The parent logger of Netty and gRPC, whose FINE and INFO lines help only their own
     * developers.
     */
    private static final Logger LIBRARY_LOGGER = Logger.getLogger("io");

    private static volatile LogQueue sCurrent;

    private final LogSettings mSettings;
    private LogQueue mQueue;
    private OutputStream mFile;

    /**
     * Creates the log. The settings take effect once it is started.
     *
     * @param settings level, format and destination of the log
     */
    public Logging(LogSettings settings) {
        mSettings = settings;
    }

    /** Applies the settings, also to loggers that already exist. */
    @Override
    public void start() {
        LineFormat format = new LineFormat(mSettings.format());
        mQueue = new LogQueue(openOutput(), format::formatDroppedCount);
        mQueue.start();
        sCurrent = mQueue;
        removeHandlers();
        LIBRARY_LOGGER.setLevel(Level.WARNING);
        ROOT_LOGGER.setLevel(level());
        ROOT_LOGGER.addHandler(new QueueHandler(mQueue, format));
    }

    private OutputStream openOutput() {
        if (mSettings.file().isEmpty()) {
            return mSettings.console() == LogSettings.Console.STDOUT ? System.out : System.err;
        }
        try {
            mFile = new FileOutputStream(mSettings.file().get().toFile(), true);
            return mFile;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot open the log file", e);
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
        for (Handler h : ROOT_LOGGER.getHandlers()) {
            ROOT_LOGGER.removeHandler(h);
        }
    }

    /** Writes the queued lines, for a process that halts without a call of {@link #stop}. */
    public static void flushBeforeHalt() {
        LogQueue current = sCurrent;
        if (current != null) {
            current.stop();
        }
    }

    /** Writes the queued lines and closes the file. Lines logged later are lost. */
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
                throw new UncheckedIOException("cannot close the log file", e);
            }
        }
    }

    /**
     * Formats each record on the thread that logs it, because its fields may change later, and
     * queues the line.
     */
    private static final class QueueHandler extends Handler {
        private final LogQueue mLineQueue;
        private final LineFormat mFormat;

        QueueHandler(LogQueue lines, LineFormat format) {
            mLineQueue = lines;
            mFormat = format;
        }

        @Override
        public void publish(LogRecord record) {
            boolean important = record.getLevel().intValue() >= Level.WARNING.intValue();
            mLineQueue.put(mFormat.format(record), important);
        }

        @Override
        public void flush() {
            // The writer thread flushes after each batch.
        }

        @Override
        public void close() {
            // This handler holds no resources.
        }
    }
}
