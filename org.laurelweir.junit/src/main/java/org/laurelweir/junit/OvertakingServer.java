package org.laurelweir.junit;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A fake backend server that answers a request before it has read its body. */
public final class OvertakingServer implements AutoCloseable {
    /** What the server does with a connection after an answer. */
    public enum Ending {
        /** Reset it. */
        RESET,
        /** Close it while bytes of the request are unread, which ends in a reset. */
        CLOSE,
        /** End the answer's direction, and close the connection a moment later. */
        FIN_THEN_CLOSE,
        /** Read the rest of the request, and close the connection. */
        READ_THEN_CLOSE
    }

    /**
     * How requests are answered.
     *
     * @param bytes the bytes of the answer, one character each
     * @param readBytes how much of the request's body is read before the answer
     * @param delayMillis time between the answer and the ending
     */
    public record Answer(String bytes, Ending ending, int readBytes, long delayMillis) {}

    private static final String THREAD = "overtaking-server";
    private static final long PAUSE_MILLIS = 20;
    private static final String HEAD_END = "\r\n\r\n";
    private static final String LENGTH_FIELD = "content-length:";

    private final LoopbackServer mServer = new LoopbackServer(THREAD);
    private volatile Answer mAnswer;

    /** Starts a server on a free port of the loopback address. */
    public OvertakingServer(Answer answer) {
        mAnswer = answer;
        mServer.start(socket -> LoopbackServer.runDaemon(THREAD, () -> serve(socket)));
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return mServer.port();
    }

    /** Sets how requests are answered from now on. */
    public void setAnswer(Answer answer) {
        mAnswer = answer;
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            String head = readHead(in);
            Answer answer = mAnswer;
            in.readNBytes(answer.readBytes());
            socket.getOutputStream().write(answer.bytes().getBytes(StandardCharsets.ISO_8859_1));
            Await.pause(answer.delayMillis());
            end(socket, answer.ending(), length(head) - answer.readBytes());
        } catch (IOException e) {
            // The caller closed the connection.
        }
    }

    private static void end(Socket socket, Ending ending, int unreadBytes) throws IOException {
        if (ending == Ending.RESET) {
            // Without a linger time, closing resets the connection.
            socket.setSoLinger(true, 0);
        }
        if (ending == Ending.FIN_THEN_CLOSE) {
            socket.shutdownOutput();
            Await.pause(PAUSE_MILLIS);
        }
        if (ending == Ending.READ_THEN_CLOSE) {
            socket.getInputStream().readNBytes(unreadBytes);
        }
    }

    /** Returns the length of the body that a head announces. */
    private static int length(String head) {
        return head.lines()
                .filter(l -> l.toLowerCase(Locale.ROOT).startsWith(LENGTH_FIELD))
                .mapToInt(l -> Integer.parseInt(l.substring(LENGTH_FIELD.length()).strip()))
                .findFirst()
                .orElseThrow();
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf(HEAD_END) < 0) {
            int b = in.read();
            if (b < 0) {
                throw new IOException("the connection ended within a head");
            }
            head.append((char) b);
        }
        return head.toString();
    }

    @Override
    public void close() {
        mServer.close();
    }
}
