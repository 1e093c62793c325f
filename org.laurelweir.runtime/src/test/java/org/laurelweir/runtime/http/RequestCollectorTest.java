package org.laurelweir.runtime.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests how a server with small requests reads them within its bounds. */
class RequestCollectorTest {
    private static final int MAX_HEAD_BYTES = 1 << 10;
    private static final int MAX_BODY_BYTES = 100 << 10;
    private static final String GET = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

    private final RequestMemory mMemory = new RequestMemory(200 << 10);
    private final PartialRequests mPartial = new PartialRequests(2 << 10);
    private final OpenConnections mConnections = new OpenConnections(3);
    private final ResponseEncoder mEncoder = new ResponseEncoder();
    private final List<EmbeddedChannel> mChannels = new ArrayList<>();

    private EmbeddedChannel connect() {
        ServerBounds bounds =
                new ServerBounds(
                        MAX_HEAD_BYTES,
                        MAX_BODY_BYTES,
                        Duration.ofSeconds(10),
                        Duration.ofSeconds(10),
                        mMemory,
                        mPartial,
                        mConnections);
        EmbeddedChannel channel = new EmbeddedChannel(new RequestCollector(bounds, mEncoder));
        mChannels.add(channel);
        return channel;
    }

    @AfterEach
    void stop() {
        mChannels.forEach(EmbeddedChannel::finishAndReleaseAll);
    }

    private static void send(EmbeddedChannel channel, String bytes) {
        channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
    }

    private static String put(int announcedBytes, int sentBytes) {
        return "PUT /x HTTP/1.1\r\nContent-Length: "
                + announcedBytes
                + "\r\n\r\n"
                + "b".repeat(sentBytes);
    }

    private static int bodySize(EmbeddedChannel channel) {
        FullHttpRequest request = channel.readInbound();
        return request == null ? -1 : request.content().readableBytes();
    }

    private static int status(EmbeddedChannel channel) {
        FullHttpResponse response = channel.readOutbound();
        return response == null ? 0 : response.status().code();
    }

    private static FullHttpResponse answer(EmbeddedChannel channel) {
        channel.writeOutbound(
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.EMPTY_BUFFER));
        FullHttpResponse response = channel.readOutbound();
        assertThat(response.status().code()).isEqualTo(200);
        return response;
    }

    // Guards against requests that are all read while their answers are not.
    @Test
    void nextRequestIsReadAfterTheAnswer() {
        EmbeddedChannel channel = connect();
        send(channel, GET + GET);
        assertThat(bodySize(channel)).isZero();
        assertThat(bodySize(channel)).isEqualTo(-1);
        assertThat(channel.config().isAutoRead()).isFalse();
        answer(channel);
        assertThat(bodySize(channel)).isZero();
        answer(channel);
        assertThat(mMemory.bytes()).isZero();
        assertThat(channel.config().isAutoRead()).isTrue();
    }

    // Guards against bytes after the answer to HEAD, which its client reads as the next answer.
    @Test
    void answerToHeadHasNoBody() {
        EmbeddedChannel channel = connect();
        channel.pipeline().addFirst(mEncoder);
        send(channel, GET.replace("GET", "HEAD"));
        channel.writeOutbound(
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.NOT_FOUND,
                        Unpooled.copiedBuffer("body", StandardCharsets.ISO_8859_1)));
        StringBuilder sent = new StringBuilder();
        for (ByteBuf b = channel.readOutbound(); b != null; b = channel.readOutbound()) {
            sent.append(b.toString(StandardCharsets.ISO_8859_1));
            b.release();
        }
        assertThat(sent).startsWith("HTTP/1.1 404").endsWith("\r\n\r\n");
    }

    // Guards against bodies that are each within the limit and together fill the memory.
    @Test
    void bodyWaitsForMemoryOfAnother() {
        EmbeddedChannel first = connect();
        EmbeddedChannel second = connect();
        send(first, put(MAX_BODY_BYTES, 1));
        send(second, put(MAX_BODY_BYTES, 10));
        assertThat(mMemory.waitingCount()).isEqualTo(1);
        assertThat(second.config().isAutoRead()).isFalse();
        first.close();
        second.runPendingTasks();
        send(second, "b".repeat(MAX_BODY_BYTES - 10));
        assertThat(bodySize(second)).isEqualTo(MAX_BODY_BYTES);
    }

    @Test
    void smallRequestIsServedBesideALargeOne() {
        send(connect(), put(MAX_BODY_BYTES, 1));
        EmbeddedChannel small = connect();
        send(small, put(10, 10));
        assertThat(bodySize(small)).isEqualTo(10);
    }

    @Test
    void tooLargeRequestsAreRefused() {
        EmbeddedChannel body = connect();
        send(body, put(MAX_BODY_BYTES + 1, 1));
        assertThat(status(body)).isEqualTo(413);
        EmbeddedChannel head = connect();
        send(head, "GET /x HTTP/1.1\r\n" + "a:\r\n".repeat(MAX_HEAD_BYTES));
        assertThat(status(head)).isEqualTo(431);
        EmbeddedChannel garbage = connect();
        send(garbage, "garbage\r\n\r\n");
        assertThat(status(garbage)).isEqualTo(400);
    }

    // Guards against many incomplete heads that together fill the memory.
    @Test
    void oldestIncompleteHeadIsGivenUp() {
        EmbeddedChannel oldest = connect();
        String head = "GET /x HTTP/1.1\r\n" + "a:\r\n".repeat(200);
        send(oldest, head);
        EmbeddedChannel second = connect();
        send(second, head);
        EmbeddedChannel latest = connect();
        send(latest, head);
        oldest.runPendingTasks();
        assertThat(oldest.isOpen()).isFalse();
        send(latest, "\r\n");
        assertThat(bodySize(latest)).isZero();
    }

    // Guards against the loss of an answer whose client has sent part of the next request.
    @Test
    void requestIsAnsweredThoughTheNextIsGivenUp() {
        String part = "GET /x HTTP/1.1\r\n" + "a:\r\n".repeat(200);
        EmbeddedChannel answering = connect();
        send(answering, GET + part);
        assertThat(bodySize(answering)).isZero();
        send(connect(), part);
        send(connect(), part);
        answering.runPendingTasks();
        send(answering, "a:\r\n".repeat(200));
        assertThat(answering.isOpen()).isTrue();
        FullHttpResponse response = answer(answering);
        assertThat(response.headers().get("Connection")).isEqualTo("close");
        send(answering, "\r\n" + GET);
        assertThat(bodySize(answering)).isEqualTo(-1);
        assertThat(mMemory.bytes()).isZero();
    }

    // Guards against bytes that are counted though they were dropped, so that others give theirs
    // up.
    @Test
    void droppedBytesAreNotCounted() {
        String part = "GET /x HTTP/1.1\r\n" + "a:\r\n".repeat(200);
        EmbeddedChannel answering = connect();
        send(answering, GET + part);
        EmbeddedChannel second = connect();
        send(second, part);
        EmbeddedChannel third = connect();
        send(third, part);
        // More input arrives before the connection has dropped what it was told to.
        send(answering, "a:\r\n");
        answering.runPendingTasks();
        second.close();
        third.close();
        assertThat(answering.isOpen()).isTrue();
        assertThat(mPartial.bytes()).isZero();
    }

    // Guards against clients that only connect, and keep all others out.
    @Test
    void newConnectionTakesThePlaceOfTheOneThatIsIdleLongest() {
        EmbeddedChannel busy = connect();
        send(busy, GET);
        EmbeddedChannel idle = connect();
        connect();
        EmbeddedChannel latest = connect();
        idle.runPendingTasks();
        assertThat(idle.isOpen()).isFalse();
        assertThat(busy.isOpen()).isTrue();
        send(latest, GET);
        assertThat(bodySize(latest)).isZero();
    }
}
