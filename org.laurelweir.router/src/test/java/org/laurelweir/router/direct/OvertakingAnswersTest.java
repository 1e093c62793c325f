package org.laurelweir.router.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.laurelweir.direct.DirectEvent;
import org.laurelweir.direct.DirectEvent.Failure;
import org.laurelweir.junit.OvertakingServer;
import org.laurelweir.junit.OvertakingServer.Ending;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.router.http.HttpDialect;
import org.laurelweir.routing.RouterEvent;
import org.laurelweir.runtime.rpc.EventLoops;

/** Tests answers that begin while the bodies of their requests are still being sent. */
class OvertakingAnswersTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final BackendRef SERVER = new BackendRef("w", 1000);
    private static final String HEAD = "HTTP/1.1 200 OK\r\n";
    private static final String WHOLE = HEAD + "Connection: close\r\nContent-Length: 2\r\n\r\nhi";
    private static final String CLOSED = HEAD + "Connection: close\r\n\r\nhalf of i";
    private static final List<String> UNFINISHED =
            List.of(
                    HEAD + "\r\nhalf of i",
                    CLOSED,
                    HEAD + "Content-Length: 10\r\n\r\nhalf of i",
                    HEAD + "Transfer-Encoding: chunked\r\n\r\n9\r\nhalf of i\r\n");
    private static final int[] UPLOAD_BYTES = {1_000_000, 4_000_000, 7_900_000};
    private static final int[] READ_BYTES = {0, 100_000};
    private static final long[] DELAYS_MILLIS = {0, 30};

    private final BlockingQueue<DirectEvent> mEvents = new LinkedBlockingQueue<>();
    private final EventLoops mLoops = new EventLoops("overtaking-answers-test", 1);
    private final BackendCalls mCalls = new BackendCalls(mLoops, HttpDialect.DEFAULT, mEvents::add);
    private final OvertakingServer mServer =
            new OvertakingServer(answer(CLOSED, Ending.RESET, 0, 0));
    private long mLastCall;

    private static OvertakingServer.Answer answer(
            String bytes, Ending ending, int readBytes, long delayMillis) {
        return new OvertakingServer.Answer(bytes, ending, readBytes, delayMillis);
    }

    @AfterEach
    void close() {
        mServer.close();
        mLoops.close();
    }

    /** Sends a request; returns how its call ended. */
    private DirectEvent endOf(byte[] body) throws InterruptedException {
        String address = "127.0.0.1:" + mServer.port();
        mCalls.begin(TestCalls.upload(++mLastCall, SERVER, address, body));
        while (true) {
            DirectEvent event = mEvents.poll(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
            assertThat(event).as("the end of a call").isNotNull();
            if (event instanceof DirectEvent.DataReceived e) {
                mCalls.onProcessed(new RouterEvent.Direct(e));
            }
            if (event instanceof DirectEvent.Finished || event instanceof DirectEvent.Failed) {
                return event;
            }
        }
    }

    /** Guards against a part of an answer that counts as the whole when its server gives up. */
    @ParameterizedTest
    @EnumSource(
            value = Ending.class,
            names = {"RESET", "CLOSE", "FIN_THEN_CLOSE"})
    void answerThatEndsDuringItsUploadIsNotWhole(Ending ending) throws Exception {
        List<String> wrong = new ArrayList<>();
        for (int size : UPLOAD_BYTES) {
            byte[] body = new byte[size];
            for (int read : READ_BYTES) {
                for (long delay : DELAYS_MILLIS) {
                    for (String bytes : UNFINISHED) {
                        mServer.setAnswer(answer(bytes, ending, read, delay));
                        DirectEvent end = endOf(body);
                        boolean isLost =
                                end instanceof DirectEvent.Failed f
                                        && f.failure() == Failure.CONNECTION_LOST;
                        if (!isLost) {
                            wrong.add(size + " " + read + " " + delay + " " + bytes + ": " + end);
                        }
                    }
                }
            }
        }
        assertThat(wrong).isEmpty();
    }

    /** Guards against losing the answers of servers that begin early and read on. */
    @Test
    void answerThatEndsAfterItsUploadIsWhole() throws Exception {
        for (int size : UPLOAD_BYTES) {
            mServer.setAnswer(answer(CLOSED, Ending.READ_THEN_CLOSE, 0, 0));
            assertThat(endOf(new byte[size])).isInstanceOf(DirectEvent.Finished.class);
        }
    }

    /** Guards against losing answers that tell their end before the request is sent whole. */
    @Test
    void answerThatTellsItsEndDuringItsUploadIsWhole() throws Exception {
        for (int size : UPLOAD_BYTES) {
            mServer.setAnswer(answer(WHOLE, Ending.READ_THEN_CLOSE, 0, 0));
            assertThat(endOf(new byte[size])).isInstanceOf(DirectEvent.Finished.class);
        }
    }
}
