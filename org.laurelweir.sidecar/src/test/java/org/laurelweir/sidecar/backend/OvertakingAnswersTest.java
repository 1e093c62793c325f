package org.laurelweir.sidecar.backend;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.laurelweir.attempt.Frame;
import org.laurelweir.attempt.Header;
import org.laurelweir.junit.OvertakingServer;
import org.laurelweir.junit.OvertakingServer.Ending;
import org.laurelweir.runtime.config.Endpoint;
import org.laurelweir.runtime.rpc.EventLoops;

/** Tests answers that begin while the bodies of their requests are still being sent. */
class OvertakingAnswersTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\n";
    private static final List<String> UNFINISHED =
            List.of(
                    HEAD + "\r\nhalf of i",
                    HEAD + "Connection: close\r\n\r\nhalf of i",
                    HEAD + "Content-Length: 10\r\n\r\nhalf of i",
                    HEAD + "Transfer-Encoding: chunked\r\n\r\n9\r\nhalf of i\r\n");
    private static final int[] UPLOAD_BYTES = {1_000_000, 4_000_000};
    private static final int[] READ_BYTES = {0, 100_000};
    private static final long TIMEOUT_SECONDS = 20;

    private final EventLoops mLoops = new EventLoops("overtaking-answers-test", 1);
    private final OvertakingServer mServer =
            new OvertakingServer(answer(UNFINISHED.get(0), Ending.RESET, 0));
    private final BackendClient mClient =
            new BackendClient(mLoops, new Endpoint("127.0.0.1", mServer.port()), e -> {});

    private static final class Call implements CallListener {
        private final CompletableFuture<Boolean> mIsWhole = new CompletableFuture<>();

        @Override
        public void onHead(int status, List<Header> headers) {}

        @Override
        public void onData(byte[] bytes) {}

        @Override
        public void onFinished(Frame.Usage usage) {
            mIsWhole.complete(true);
        }

        @Override
        public void onFailed(boolean possiblySent, String message) {
            mIsWhole.complete(false);
        }
    }

    private static OvertakingServer.Answer answer(String bytes, Ending ending, int readBytes) {
        return new OvertakingServer.Answer(bytes, ending, readBytes, 0);
    }

    @AfterEach
    void close() {
        mServer.close();
        mLoops.close();
    }

    private boolean isWhole(int uploadBytes) throws Exception {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.POST,
                        "/x",
                        Unpooled.wrappedBuffer(new byte[uploadBytes]));
        request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, uploadBytes);
        Call call = new Call();
        mClient.start(request, call);
        return call.mIsWhole.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Guards against a part of an answer that counts as the whole when its server gives up. */
    @ParameterizedTest
    @EnumSource(
            value = Ending.class,
            names = {"RESET", "CLOSE", "FIN_THEN_CLOSE"})
    void answerThatEndsDuringItsUploadIsNotWhole(Ending ending) throws Exception {
        List<String> wrong = new ArrayList<>();
        for (int size : UPLOAD_BYTES) {
            for (int read : READ_BYTES) {
                for (String bytes : UNFINISHED) {
                    mServer.setAnswer(answer(bytes, ending, read));
                    if (isWhole(size)) {
                        wrong.add(size + " " + read + " " + bytes);
                    }
                }
            }
        }
        assertThat(wrong).isEmpty();
    }

    /** Guards against losing answers of servers that begin early and read on. */
    @Test
    void answerThatBeginsDuringItsUploadIsWhole() throws Exception {
        for (int size : UPLOAD_BYTES) {
            mServer.setAnswer(answer(HEAD + "\r\nwhole", Ending.READ_THEN_CLOSE, 0));
            assertThat(isWhole(size)).isTrue();
            String framed = HEAD + "Content-Length: 5\r\n\r\nwhole";
            mServer.setAnswer(answer(framed, Ending.READ_THEN_CLOSE, 0));
            assertThat(isWhole(size)).isTrue();
        }
    }
}
