import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Plain HTTP/1.1 over sockets, as a sound client or server speaks it. */
final class Http {
    private Http() {}

    /** A head with its body. The first line is the request line or the status line. */
    record Message(String line, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static Socket connect(String address, int timeoutMillis) throws IOException {
        int colon = address.lastIndexOf(':');
        Socket s = new Socket();
        s.setTcpNoDelay(true);
        s.connect(
                new InetSocketAddress(
                        address.substring(0, colon),
                        Integer.parseInt(address.substring(colon + 1))),
                timeoutMillis);
        return s;
    }

    /** Sends a request on a channel of its own and returns the answer; null without a whole one. */
    static Message call(
            String address, String method, String path, String headers, String body, int millis) {
        try (Socket s = connect(address, Math.min(1000, millis))) {
            s.setSoTimeout(millis);
            send(s, address, method, path, headers, body);
            return read(s.getInputStream(), true);
        } catch (IOException e) {
            return null;
        }
    }

    static void send(
            Socket s, String host, String method, String path, String headers, String body)
            throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String length =
                bytes.length > 0 || !method.equals("GET")
                        ? "Content-Length: " + bytes.length + "\r\n"
                        : "";
        String head =
                method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + headers + length
                        + "\r\n";
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
        all.writeBytes(bytes);
        OutputStream out = s.getOutputStream();
        out.write(all.toByteArray());
        out.flush();
    }

    /** Follows a redirect twice, as callers of control do. */
    static Message controlCall(String address, String method, String path, String body) {
        Message m = call(address, method, path, "Content-Type: application/json\r\n", body, 1000);
        for (int i = 0; i < 2 && m != null && m.status() == 307; i++) {
            String location = m.header("location").substring("http://".length());
            int slash = location.indexOf('/');
            m =
                    call(
                            location.substring(0, slash),
                            method,
                            location.substring(slash),
                            "Content-Type: application/json\r\n",
                            body,
                            1000);
        }
        return m;
    }

    static Message read(InputStream in, boolean isAnswer) throws IOException {
        String line = line(in);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String h = line(in); !h.isEmpty(); h = line(in)) {
            int colon = h.indexOf(':');
            headers.put(
                    h.substring(0, colon).toLowerCase(Locale.ROOT), h.substring(colon + 1).strip());
        }
        return new Message(line, headers, body(in, headers, isAnswer));
    }

    private static byte[] body(InputStream in, Map<String, String> headers, boolean isAnswer)
            throws IOException {
        if (headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(line(in).split(";")[0].strip(), 16);
                byte[] chunk = in.readNBytes(size);
                if (chunk.length < size) {
                    throw new IOException("cut within a chunk");
                }
                all.writeBytes(chunk);
                String end = line(in);
                if (size == 0) {
                    return all.toByteArray();
                }
                if (!"".equals(end)) {
                    throw new IOException("bad chunk");
                }
            }
        }
        String length = headers.get("content-length");
        if (length == null) {
            return isAnswer ? in.readAllBytes() : new byte[0];
        }
        int n = Integer.parseInt(length);
        byte[] body = in.readNBytes(n);
        if (body.length < n) {
            throw new IOException("cut within a body");
        }
        return body;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new IOException("cut within a line");
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
