package org.laurelweir.runtime.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests bodies that are put together from pieces. */
class BodyBufferTest {
    private static final int SIZE = 100_000;

    private static byte[] collect(BodyBuffer buffer, byte[] body, int pieceBytes) {
        for (int from = 0; from < body.length; from += pieceBytes) {
            int length = Math.min(pieceBytes, body.length - from);
            buffer.add(Unpooled.wrappedBuffer(body, from, length));
        }
        return buffer.toBytes();
    }

    @Test
    void bodyIsTheSameInPiecesOfAnySize() {
        byte[] body = new byte[SIZE];
        new Random(1).nextBytes(body);
        for (int pieceBytes : new int[] {1, 7, 16 << 10, 20_000, SIZE}) {
            assertThat(collect(new BodyBuffer(0), body, pieceBytes)).isEqualTo(body);
            assertThat(collect(new BodyBuffer(SIZE), body, pieceBytes)).isEqualTo(body);
        }
        assertThat(new BodyBuffer(0).toBytes()).isEmpty();
    }

    @Test
    void bodyThatMayGrowNeedsTheLimitOnceItIsNotSmall() {
        BodyBuffer chunked = new BodyBuffer(0);
        assertThat(chunked.memoryFor(0, 1 << 20)).isZero();
        assertThat(chunked.memoryFor(10, 1 << 20)).isEqualTo(16 << 10);
        assertThat(chunked.memoryFor(RequestMemory.SMALL_BYTES + 1, 1 << 20)).isEqualTo(1 << 20);
        assertThat(new BodyBuffer(SIZE).memoryFor(10, 1 << 20)).isEqualTo(SIZE);
    }
}
