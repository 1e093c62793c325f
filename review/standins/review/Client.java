package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's channel to one router, kept open for many requests. */
public final class Client implements AutoCloseable {
    private final Socket mSocket = new Socket();
    private final InputStream mIn;
    private final OutputStream mOut;

    public Client(InetSocketAddress address) throws IOException {
        mSocket.connect(address, 1000);
        mSocket.setTcpNoDelay(true);
        mIn = new BufferedInputStream(mSocket.getInputStream());
        mOut = mSocket.getOutputStream();
    }

    /** Sends a whole request; further headers may follow the body. */
    public void send(
            String method, String path, String id, int deadlineMs, byte[] body, String... headers)
            throws IOException {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
        head.append("Host: ").append(Manifest.HOST).append("\r\n");
        head.append("X-Laurelweir-Request-Id: ").append(id).append("\r\n");
        head.append("X-Laurelweir-Request-Deadline-Ms: ").append(deadlineMs).append("\r\n");
        head.append("Authorization: Token ").append(Manifest.KEY).append("\r\n");
        for (String h : headers) {
            head.append(h).append("\r\n");
        }
        if (!method.equals("GET")) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        mSocket.setSoTimeout(deadlineMs + 1000);
        mOut.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
        mOut.write(body);
        mOut.flush();
    }

    /** Reads the next answer; null if the channel ends before it. */
    public Http.Answer read() throws IOException {
        return Http.readAnswer(mIn);
    }

    public Http.Answer ask(String method, String path, String id, int deadlineMs, byte[] body, String... headers)
            throws IOException {
        send(method, path, id, deadlineMs, body, headers);
        return read();
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
