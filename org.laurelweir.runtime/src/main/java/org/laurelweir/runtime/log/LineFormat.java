package org.laurelweir.runtime.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.google.common.flogger.backend.BaseMessageFormatter;
import com.google.common.flogger.backend.LogData;
import com.google.common.flogger.backend.Metadata;
import com.google.common.flogger.backend.system.AbstractLogRecord;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Map;
import java.util.TreeMap;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.SimpleFormatter;

/**
 * Formats log records as lines. Records from Flogger carry structured fields; records that
 * libraries log through java.util.logging carry none.
 */
final class LineFormat {
    private static final DateTimeFormatter TIME_FORMATTER =
            DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSS'Z'").withZone(ZoneOffset.UTC);
    private static final JsonFactory JSON_FACTORY = new JsonFactory();
    private static final SimpleFormatter MESSAGE_FORMATTER = new SimpleFormatter();
    private static final String CAUSE_LABEL = "cause";

    private final LogSettings.Format mFormat;

    LineFormat(LogSettings.Format format) {
        mFormat = format;
    }

    byte[] format(LogRecord record) {
        Map<String, Object> fields = fieldsOf(record);
        return mFormat == LogSettings.Format.JSON
                ? formatJson(record, fields)
                : formatPlain(record, fields);
    }

    /** Returns a warning line with the number of dropped lines. */
    byte[] formatDroppedCount(long dropped) {
        LogRecord record = new LogRecord(Level.WARNING, "log lines dropped: " + dropped);
        record.setLoggerName(LogQueue.class.getName());
        return format(record);
    }

    private static byte[] formatJson(LogRecord record, Map<String, Object> fields) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON_FACTORY.createGenerator(out)) {
            json.writeStartObject();
            json.writeStringField("time", TIME_FORMATTER.format(record.getInstant()));
            json.writeStringField("level", levelOf(record));
            json.writeStringField("logger", String.valueOf(record.getLoggerName()));
            json.writeStringField("message", messageOf(record));
            for (Map.Entry<String, Object> f : fields.entrySet()) {
                writeField(json, f.getKey(), f.getValue());
            }
            if (record.getThrown() != null) {
                json.writeStringField("error", stackTraceOf(record.getThrown()));
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        out.write('\n');
        return out.toByteArray();
    }

    private static void writeField(JsonGenerator json, String name, Object value)
            throws IOException {
        if (value instanceof Double d) {
            json.writeNumberField(name, d);
        } else {
            json.writeStringField(name, String.valueOf(value));
        }
    }

    private static byte[] formatPlain(LogRecord record, Map<String, Object> fields) {
        String logger = String.valueOf(record.getLoggerName());
        StringBuilder line = new StringBuilder(TIME_FORMATTER.format(record.getInstant()));
        line.append(String.format(" %-5s ", levelOf(record)));
        line.append(logger.substring(logger.lastIndexOf('.') + 1));
        line.append(": ").append(messageOf(record));
        if (!fields.isEmpty()) {
            line.append(' ').append(fields);
        }
        line.append('\n');
        if (record.getThrown() != null) {
            line.append(stackTraceOf(record.getThrown()));
        }
        return line.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static String messageOf(LogRecord record) {
        if (record instanceof AbstractLogRecord r) {
            StringBuilder message = new StringBuilder();
            BaseMessageFormatter.appendFormattedMessage(r.getLogData(), message);
            return message.toString();
        }
        return MESSAGE_FORMATTER.formatMessage(record);
    }

    private static Map<String, Object> fieldsOf(LogRecord record) {
        Map<String, Object> fields = new TreeMap<>();
        if (record instanceof AbstractLogRecord r) {
            LogData data = r.getLogData();
            Metadata metadata = data.getMetadata();
            for (int i = 0; i < metadata.size(); i++) {
                String label = metadata.getKey(i).getLabel();
                if (!label.equals(CAUSE_LABEL)) {
                    fields.put(label, metadata.getValue(i));
                }
            }
        }
        return fields;
    }

    private static String stackTraceOf(Throwable thrown) {
        StringWriter text = new StringWriter();
        thrown.printStackTrace(new PrintWriter(text, true));
        return text.toString();
    }

    private static String levelOf(LogRecord record) {
        int level = record.getLevel().intValue();
        if (level >= Level.SEVERE.intValue()) {
            return "ERROR";
        }
        if (level >= Level.WARNING.intValue()) {
            return "WARN";
        }
        return level >= Level.INFO.intValue() ? "INFO" : "DEBUG";
    }
}
