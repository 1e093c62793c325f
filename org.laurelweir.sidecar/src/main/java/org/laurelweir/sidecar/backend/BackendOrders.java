package org.laurelweir.sidecar.backend;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.BiConsumer;
import org.laurelweir.admission.SidecarEffect;
import org.laurelweir.attempt.Frame;
import org.laurelweir.attempt.Header;
import org.laurelweir.lib.ResultCode;

/** Gives the backend server orders over HTTP, with their fencing numbers for one that checks. */
public final class BackendOrders {
    private static final int CONFLICT = 409;
    private static final int SUCCESS = 2;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final BackendClient mClient;
    private final String mPath;

    private record Order(String kind, String name, long fence) {}

    /**
     * Creates it.
     *
     * @param client calls the backend server
     * @param path where the backend server takes orders
     */
    public BackendOrders(BackendClient client, String path) {
        mClient = client;
        mPath = path;
    }

    /**
     * Passes an order on.
     *
     * @param effect the order
     * @param answer takes the result and what the backend server said
     */
    public void pass(SidecarEffect.PassOrder effect, BiConsumer<ResultCode, String> answer) {
        Order order = new Order(effect.kind(), effect.argument(), effect.fence());
        mClient.start(message(order), new Listener(answer));
    }

    private FullHttpRequest message(Order order) {
        byte[] body = json(order);
        FullHttpRequest message =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.POST, mPath, Unpooled.wrappedBuffer(body));
        message.headers()
                .set(HttpHeaderNames.HOST, mClient.backend().toString())
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
                .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
                .setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        return message;
    }

    private static byte[] json(Order order) {
        try {
            return JSON.writeValueAsBytes(order);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("an order that is not JSON: " + order, e);
        }
    }

    private static final class Listener implements CallListener {
        private final BiConsumer<ResultCode, String> mAnswer;
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private int mStatus;

        Listener(BiConsumer<ResultCode, String> answer) {
            mAnswer = answer;
        }

        @Override
        public void answered(int status, List<Header> headers) {
            mStatus = status;
        }

        @Override
        public void received(byte[] bytes) {
            mBody.writeBytes(bytes);
        }

        @Override
        public void finished(Frame.Usage usage) {
            mAnswer.accept(code(), mBody.toString(StandardCharsets.UTF_8));
        }

        private ResultCode code() {
            if (mStatus / 100 == SUCCESS) {
                return ResultCode.OK;
            }
            return mStatus == CONFLICT ? ResultCode.STALE_FENCE : ResultCode.BACKEND_FAILED;
        }

        @Override
        public void failed(boolean sent, String message) {
            mAnswer.accept(sent ? ResultCode.OUTCOME_UNKNOWN : ResultCode.BACKEND_REFUSED, message);
        }
    }
}
