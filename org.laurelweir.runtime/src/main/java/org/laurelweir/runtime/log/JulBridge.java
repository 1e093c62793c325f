package org.laurelweir.runtime.log;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;
import org.apache.logging.log4j.LogManager;

/** Hands what gRPC writes to java.util.logging to the program's log. */
final class JulBridge extends Handler {
    private static final SimpleFormatter FORMATTER = new SimpleFormatter();

    private JulBridge() {}

    /** Replaces every handler of the root logger. */
    static void install() {
        Logger root = Logger.getLogger("");
        for (Handler h : root.getHandlers()) {
            root.removeHandler(h);
        }
        root.addHandler(new JulBridge());
    }

    @Override
    public void publish(LogRecord record) {
        String message = FORMATTER.formatMessage(record);
        LogManager.getLogger(String.valueOf(record.getLoggerName()))
                .log(levelOf(record.getLevel()), message, record.getThrown());
    }

    private static org.apache.logging.log4j.Level levelOf(Level level) {
        if (level.intValue() >= Level.SEVERE.intValue()) {
            return org.apache.logging.log4j.Level.ERROR;
        }
        if (level.intValue() >= Level.WARNING.intValue()) {
            return org.apache.logging.log4j.Level.WARN;
        }
        if (level.intValue() >= Level.INFO.intValue()) {
            return org.apache.logging.log4j.Level.INFO;
        }
        return org.apache.logging.log4j.Level.DEBUG;
    }

    @Override
    public void flush() {
        // Log4j's appenders flush each line.
    }

    @Override
    public void close() {
        // Holds nothing.
    }
}
