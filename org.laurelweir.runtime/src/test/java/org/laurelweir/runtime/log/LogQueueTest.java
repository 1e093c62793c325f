package org.laurelweir.runtime.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** What a reader that does not keep up costs. */
class LogQueueTest {
    private static final int FAR_TOO_MANY = 100_000;

    /** Takes nothing until it is opened. */
    private static final class BlockedStream extends OutputStream {
        private final CountDownLatch mOpen = new CountDownLatch(1);
        private final ByteArrayOutputStream mWritten = new ByteArrayOutputStream();

        @Override
        public void write(int b) throws IOException {
            write(new byte[] {(byte) b}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int offset, int length) throws IOException {
            try {
                mOpen.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            mWritten.write(bytes, offset, length);
        }
    }

    private static byte[] line(String text) {
        return (text + "\n").getBytes(StandardCharsets.UTF_8);
    }

    private static byte[] dropped(long lines) {
        return line("log lines dropped: " + lines);
    }

    @Test
    void theLineOfWhatWasDroppedHasTheFieldsOfEveryLine() {
        // Whoever searches a log by time or logger must find where it has gaps.
        byte[] json = new LineFormat(LogSettings.Format.JSON).droppedLine(7);
        assertThat(new String(json, StandardCharsets.UTF_8))
                .startsWith("{\"time\":\"")
                .contains("\"level\":\"WARN\",\"logger\":\"" + LogQueue.class.getName() + "\"")
                .endsWith("\"message\":\"log lines dropped: 7\"}\n");
    }

    @Test
    void aBlockedReaderCostsLinesAndNoTime() {
        // Nobody reads the log while ten times as many lines are written as it holds. Whoever logs
        // goes on: a put that waited would never return here. What failed is kept before the rest.
        BlockedStream blocked = new BlockedStream();
        LogQueue queue = new LogQueue(blocked, LogQueueTest::dropped);
        queue.start();
        for (int i = 0; i < FAR_TOO_MANY; i++) {
            queue.put(line("ordinary"), false);
        }
        queue.put(line("failed"), true);
        blocked.mOpen.countDown();
        queue.stop();
        String written = blocked.mWritten.toString(StandardCharsets.UTF_8);
        assertThat(written).contains("failed\n").contains("log lines dropped: ");
        long kept = written.lines().filter("ordinary"::equals).count();
        assertThat(kept).isPositive().isLessThan(FAR_TOO_MANY);
        long dropped =
                written.lines()
                        .filter(l -> l.contains("dropped"))
                        .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")))
                        .sum();
        assertThat(kept + dropped).isEqualTo(FAR_TOO_MANY);
    }

    @Test
    void linesComeInTheirOrder() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        LogQueue queue = new LogQueue(out, LogQueueTest::dropped);
        queue.start();
        for (int i = 0; i < 1000; i++) {
            queue.put(line(Integer.toString(i)), i % 2 == 0);
        }
        queue.stop();
        assertThat(out.toString(StandardCharsets.UTF_8).lines().map(Integer::parseInt))
                .isSorted()
                .hasSize(1000);
    }
}
