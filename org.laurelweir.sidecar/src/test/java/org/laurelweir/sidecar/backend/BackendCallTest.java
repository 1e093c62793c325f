package org.laurelweir.sidecar.backend;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.laurelweir.attempt.Frame;
import org.laurelweir.attempt.Header;
import org.laurelweir.runtime.answer.AnswerCodec;

/** Tests which ends of a backend server's answer count as complete. */
class BackendCallTest {
    private static final String EVENTS = "text/event-stream";
    private static final String JSON = "application/json";

    private enum End {
        FINISHED,
        FAILED
    }

    private static final class EndRecorder implements CallListener {
        private End mEnd;
        private List<Header> mHeaders;
        private Frame.Usage mUsage;

        @Override
        public void onHead(int status, List<Header> headers) {
            mHeaders = headers;
        }

        @Override
        public void onData(byte[] bytes) {}

        @Override
        public void onFinished(Frame.Usage usage) {
            mEnd = End.FINISHED;
            mUsage = usage;
        }

        @Override
        public void onFailed(boolean possiblySent, String message) {
            mEnd = End.FAILED;
        }
    }

    /** A connection that never takes a whole request. */
    private static final class UnfinishedWrites extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            ReferenceCountUtil.release(message);
        }
    }

    /** Returns the end of a call whose server sends an answer and closes the connection. */
    private static End endOf(boolean chat, String type, String framing, String body) {
        return call(chat, type, framing, body).mEnd;
    }

    private static EndRecorder call(boolean chat, String type, String framing, String body) {
        return call(chat, "HTTP/1.1 200 OK\r\nContent-Type: " + type + framing + "\r\n\r\n" + body);
    }

    private static EndRecorder call(boolean chat, String answer) {
        EndRecorder end = new EndRecorder();
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x");
        BackendCall call = new BackendCall(request, chat, end, head -> {});
        EmbeddedChannel channel = new EmbeddedChannel(new AnswerCodec(), call);
        call.onConnected(channel.newSucceededFuture());
        channel.writeInbound(Unpooled.copiedBuffer(answer, StandardCharsets.US_ASCII));
        channel.finish();
        return end;
    }

    private static End endOfUnframed(String type, String body) {
        return endOf(false, type, "", body);
    }

    // Guards against a plain service's stream that its connection cuts and that counts as complete.
    @Test
    void plainStreamThatEndsInsideAnEventFails() {
        assertThat(endOfUnframed(EVENTS, "data: a\n\n")).isEqualTo(End.FINISHED);
        assertThat(endOfUnframed(EVENTS, "data: a\n\ndata")).isEqualTo(End.FAILED);
        assertThat(endOfUnframed(EVENTS, "data: a\n\ndata: b\n")).isEqualTo(End.FAILED);
        assertThat(endOfUnframed(EVENTS, "")).isEqualTo(End.FAILED);
    }

    // Guards against keeping half an answer as the outcome of a call that may run only once.
    @Test
    void jsonTextThatItsConnectionCutsFails() {
        assertThat(endOfUnframed(JSON, "{\"a\": [1]}")).isEqualTo(End.FINISHED);
        assertThat(endOfUnframed(JSON, "{\"a\": [1]")).isEqualTo(End.FAILED);
        assertThat(endOf(false, JSON, "\r\nContent-Length: 3", "{\"a")).isEqualTo(End.FINISHED);
    }

    @Test
    void chatStreamEndsWithItsLastEvent() {
        String event = "data: {}\n\n";
        assertThat(endOf(true, EVENTS, "", event)).isEqualTo(End.FAILED);
        assertThat(endOf(true, EVENTS, "", event + "data: [DONE]\n\n")).isEqualTo(End.FINISHED);
        assertThat(endOf(true, EVENTS, "", event + "data: [DONE]\n")).isEqualTo(End.FINISHED);
    }

    // Guards against a compressed chat's stream that counts as complete although it was cut.
    @Test
    void compressedChatStreamWithoutItsLastEventFails() {
        String gzip = EVENTS + "\r\nContent-Encoding: gzip";
        assertThat(endOf(true, gzip, "", "half of it")).isEqualTo(End.FAILED);
        assertThat(endOf(false, gzip, "", "half of it")).isEqualTo(End.FINISHED);
    }

    // Guards against telling callers more of an answer's end than is known.
    @Test
    void headTellsThatOnlyTheConnectionEndsTheAnswer() {
        Header end = new Header("X-Answer-End", "connection");
        assertThat(call(false, "text/plain", "", "a").mHeaders).contains(end);
        assertThat(call(false, "text/plain", "\r\nContent-Length: 1", "a").mHeaders)
                .doesNotContain(end);
    }

    @Test
    void answerThatTellsNothingOfItsEndIsComplete() {
        assertThat(endOfUnframed("text/plain", "half a sen")).isEqualTo(End.FINISHED);
    }

    /** Guards against bytes that are no answer, which a router gets as a head from its sidecar. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nhi",
                "HTTP/1.1 2000 X\r\nContent-Length: 2\r\n\r\nhi",
                "HTTP/1.1 200 X\0\r\nContent-Length: 2\r\n\r\nhi",
                "HTTP/1.1 200 X\r\nA b: x\r\nContent-Length: 2\r\n\r\nhi",
                "HTTP/1.1 200 X\r\nA : x\r\nContent-Length: 2\r\n\r\nhi",
                "HTTP/1.1 200 X\r\nTransfer-Encoding: gzip\r\n\r\nhi"
            })
    void bytesThatAreNoAnswerFailTheCall(String bytes) {
        EndRecorder call = call(false, bytes);
        assertThat(call.mEnd).isEqualTo(End.FAILED);
        assertThat(call.mHeaders).isNull();
    }

    /** Guards against a failure that looks like a success, since a head broke off before it. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nA: x", "HTTP/1.1 200 "})
    void headWithinWhichAnotherOneBeginsFailsTheCall(String brokenOff) {
        EndRecorder call =
                call(false, brokenOff + "HTTP/1.1 500 Error\r\nContent-Length: 2\r\n\r\nhi");
        assertThat(call.mEnd).isEqualTo(End.FAILED);
        assertThat(call.mHeaders).isNull();
    }

    /** Guards against a part of an answer that counts as the whole: its engine gave up reading. */
    @Test
    void answerThatItsConnectionEndsBeforeTheRequestIsSentFailsTheCall() {
        EndRecorder end = new EndRecorder();
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x");
        BackendCall call = new BackendCall(request, false, end, head -> {});
        EmbeddedChannel channel =
                new EmbeddedChannel(new UnfinishedWrites(), new AnswerCodec(), call);
        call.onConnected(channel.newSucceededFuture());
        channel.writeInbound(
                Unpooled.copiedBuffer(
                        "HTTP/1.1 200 OK\r\n\r\nhalf of i", StandardCharsets.US_ASCII));
        channel.finish();
        assertThat(end.mEnd).isEqualTo(End.FAILED);
    }

    /** Guards against an answer that counts as whole though its end is malformed. */
    @ParameterizedTest
    @ValueSource(strings = {"A b: x\r\n\r\n", "A : x\r\n\r\n", "A: x\0\r\n\r\n", "x\r\n\r\n"})
    void malformedTrailersFailTheCall(String trailers) {
        String chunked = "\r\nTransfer-Encoding: chunked";
        assertThat(endOf(false, "text/plain", chunked, "2\r\nhi\r\n0\r\n" + trailers))
                .isEqualTo(End.FAILED);
        assertThat(endOf(false, "text/plain", chunked, "2\r\nhi\r\n0\r\nA: x\r\n\r\n"))
                .isEqualTo(End.FINISHED);
    }

    private static Frame.Usage usage(String usage) {
        return call(false, JSON, "", "{\"usage\": {" + usage + "}}").mUsage;
    }

    /** Guards against numbers of tokens that no server can mean, which count as cached ones. */
    @Test
    void impossibleUsageIsIgnored() {
        assertThat(usage("\"prompt_tokens\": 3, \"completion_tokens\": 2"))
                .isEqualTo(new Frame.Usage(3, 0, 2));
        assertThat(usage("\"prompt_tokens\": 3, \"prompt_tokens_details\": null"))
                .isEqualTo(new Frame.Usage(3, 0, 0));
        for (String wrong : List.of("-3", "2147483647", "99999999999", "1e99", "\"x\"", "{}")) {
            assertThat(usage("\"prompt_tokens\": " + wrong + ", \"completion_tokens\": 2"))
                    .as(wrong)
                    .isEqualTo(Frame.Usage.NONE);
        }
    }

    /**
     * Guards against a word of the backend server that is lost with the call that it belongs to.
     */
    @Test
    void everyHeadIsReportedForWhatItSaysOfTheServer() {
        List<Integer> statuses = new ArrayList<>();
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x");
        BackendCall call =
                new BackendCall(
                        request, false, new EndRecorder(), h -> statuses.add(h.status().code()));
        EmbeddedChannel channel = new EmbeddedChannel(new AnswerCodec(), call);
        call.onConnected(channel.newSucceededFuture());
        String heads = "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";
        channel.writeInbound(Unpooled.copiedBuffer(heads, StandardCharsets.US_ASCII));
        assertThat(statuses).containsExactly(103, 503);
    }
}
