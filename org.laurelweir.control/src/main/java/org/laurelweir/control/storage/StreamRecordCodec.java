package org.laurelweir.control.storage;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import org.laurelweir.resumption.StreamOrigin;
import org.laurelweir.resumption.StreamRecord;

/**
 * Encodes the records of streams: the length of the body, a CRC-32C over the body, then the body,
 * which holds the stream's key, the retention in milliseconds, and service and version with their
 * lengths.
 */
final class StreamRecordCodec {
    private static final int HEADER_BYTES = 8;
    private static final int BODY_FIXED_BYTES = 24;

    private StreamRecordCodec() {}

    static ByteBuffer encode(List<StreamRecord> records) {
        List<byte[]> bodies = records.stream().map(StreamRecordCodec::body).toList();
        int size = bodies.stream().mapToInt(b -> HEADER_BYTES + b.length).sum();
        ByteBuffer out = ByteBuffer.allocate(size);
        bodies.forEach(b -> out.putInt(b.length).putInt(checksum(b)).put(b));
        return out.flip();
    }

    private static byte[] body(StreamRecord r) {
        byte[] service = r.origin().service().getBytes(StandardCharsets.UTF_8);
        byte[] version = r.origin().version().getBytes(StandardCharsets.UTF_8);
        ByteBuffer out = ByteBuffer.allocate(BODY_FIXED_BYTES + service.length + version.length);
        out.putLong(r.stream()).putLong(r.retention().toMillis());
        out.putInt(service.length).put(service).putInt(version.length).put(version);
        return out.array();
    }

    /** Decodes the records up to the first one that is damaged or incomplete. */
    static List<StreamRecord> decode(byte[] bytes) {
        List<StreamRecord> records = new ArrayList<>();
        ByteBuffer in = ByteBuffer.wrap(bytes);
        while (in.remaining() >= HEADER_BYTES) {
            int length = in.getInt();
            int checksum = in.getInt();
            if (length < BODY_FIXED_BYTES || length > in.remaining()) {
                break;
            }
            byte[] body = new byte[length];
            in.get(body);
            if (checksum(body) != checksum) {
                break;
            }
            records.add(record(ByteBuffer.wrap(body)));
        }
        return records;
    }

    private static StreamRecord record(ByteBuffer body) {
        long stream = body.getLong();
        Duration retention = Duration.ofMillis(body.getLong());
        StreamOrigin origin = new StreamOrigin(text(body), text(body));
        return new StreamRecord(stream, origin, retention);
    }

    private static String text(ByteBuffer in) {
        byte[] bytes = new byte[in.getInt()];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static int checksum(byte[] body) {
        CRC32C crc = new CRC32C();
        crc.update(body, 0, body.length);
        return (int) crc.getValue();
    }
}
