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

/**
 * Passes orders on to the backend server over HTTP. Each carries its fencing token, which a backend
 * server may check.
 */
public final class BackendOrders {
    private static final int CONFLICT = 409;
    private static final int SUCCESS_CLASS = 2;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final BackendClient mClient;
    private final String mPath;

    private record Order(String kind, String name, long fence) {}

    /**
     * Creates a sender of orders.
     *
     * @param client calls the backend server
     * @param path the backend server's HTTP path for orders
     */
    public BackendOrders(BackendClient client, String path) {
        mClient = client;
        mPath = path;
    }

    /**
     * Passes an order on.
     *
     * @param effect the order
     * @param answer receives the result and the backend server's answer, or the reason of a failure
     */
    public void pass(SidecarEffect.PassOrder effect, BiConsumer<ResultCode, String> answer) {
        Order order = new Order(effect.kind(), effect.argument(), effect.fence());
        mClient.start(toRequest(order), new AnswerListener(answer));
    }

    private FullHttpRequest toRequest(Order order) {
        byte[] body = toJson(order);
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

    private static byte[] toJson(Order order) {
        try {
            return JSON.writeValueAsBytes(order);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write the order as JSON: " + order, e);
        }
    }

    private static final class AnswerListener implements CallListener {
        private final BiConsumer<ResultCode, String> mAnswer;
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private int mStatus;

        AnswerListener(BiConsumer<ResultCode, String> answer) {
            mAnswer = answer;
        }

        @Override
        public void onHead(int status, List<Header> headers) {
            mStatus = status;
        }

        @Override
        public void onData(byte[] bytes) {
            mBody.writeBytes(bytes);
        }

        @Override
        public void onFinished(Frame.Usage usage) {
            mAnswer.accept(code(), mBody.toString(StandardCharsets.UTF_8));
        }

        private ResultCode code() {
            if (mStatus / 100 == SUCCESS_CLASS) {
                return ResultCode.OK;
            }
            return mStatus == CONFLICT ? ResultCode.STALE_FENCE : ResultCode.BACKEND_FAILED;
        }

        @Override
        public void onFailed(boolean possiblySent, String message) {
            mAnswer.accept(
                    possiblySent ? ResultCode.OUTCOME_UNKNOWN : ResultCode.BACKEND_REFUSED,
                    message);
        }
    }
}
