package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on plain sockets. */
public final class Http {
    private Http() {}

    /** An answer as a client read it. */
    public record Answer(int status, Map<String, String> headers, byte[] body, boolean complete) {
        public String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        public String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    /** Reads a line without its end, or null at the end of the stream before any byte. */
    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int b = in.read();
        if (b < 0) {
            return null;
        }
        while (b >= 0 && b != '\n') {
            line.write(b);
            b = in.read();
        }
        String s = line.toString(StandardCharsets.ISO_8859_1);
        return s.endsWith("\r") ? s.substring(0, s.length() - 1) : s;
    }

    private static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        while (true) {
            String line = readLine(in);
            if (line == null) {
                throw new EOFException("within the head");
            }
            if (line.isEmpty()) {
                return headers;
            }
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        return readChunks(in, new ByteArrayOutputStream());
    }

    private static byte[] readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
        while (true) {
            String size = readLine(in);
            if (size == null) {
                throw new EOFException("within the chunks");
            }
            int n = Integer.parseInt(size.split(";")[0].strip(), 16);
            if (n == 0) {
                String line = readLine(in);
                while (line != null && !line.isEmpty()) {
                    line = readLine(in);
                }
                return body.toByteArray();
            }
            byte[] chunk = in.readNBytes(n);
            if (chunk.length < n) {
                throw new EOFException("within a chunk");
            }
            body.writeBytes(chunk);
            readLine(in);
        }
    }

    static Worker.Request readRequest(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null || line.isEmpty()) {
            return null;
        }
        String[] words = line.split(" ");
        Map<String, String> headers = readHeaders(in);
        byte[] body = new byte[0];
        if (headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
            body = readChunks(in);
        } else if (headers.containsKey("content-length")) {
            int n = Integer.parseInt(headers.get("content-length"));
            body = in.readNBytes(n);
            if (body.length < n) {
                throw new EOFException("within the body");
            }
        }
        return new Worker.Request(words[0], words[1], headers, body, System.nanoTime());
    }

    /** Reads an answer. Returns null if the channel ends before it; not complete if within it. */
    public static Answer readAnswer(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        int status = Integer.parseInt(line.split(" ")[1]);
        Map<String, String> headers = readHeaders(in);
        ByteArrayOutputStream chunks = new ByteArrayOutputStream();
        try {
            if (headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
                return new Answer(status, headers, readChunks(in, chunks), true);
            }
            if (headers.containsKey("content-length")) {
                int n = Integer.parseInt(headers.get("content-length"));
                byte[] body = in.readNBytes(n);
                return new Answer(status, headers, body, body.length == n);
            }
            return new Answer(status, headers, in.readAllBytes(), true);
        } catch (EOFException e) {
            return new Answer(status, headers, chunks.toByteArray(), false);
        }
    }

    public static void write(OutputStream out, int status, List<String> headers, String body)
            throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.ISO_8859_1);
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
        headers.forEach(h -> head.append(h).append("\r\n"));
        head.append("Content-Length: ").append(bytes.length).append("\r\n\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.writeBytes(bytes);
        out.write(all.toByteArray());
        out.flush();
    }
}
