package org.laurelweir.runtime.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Tests the log queue with readers that are blocked and with readers that keep up. */
class LogQueueTest {
    private static final int ORDINARY_LINES = 100_000;

    /** Blocks all writes until it is opened. */
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

    private static byte[] droppedCountLine(long lines) {
        return line("log lines dropped: " + lines);
    }

    @Test
    void droppedCountLineHasTheUsualFields() {
        // A search of the log by time or logger must also find its gaps.
        byte[] json = new LineFormat(LogSettings.Format.JSON).formatDroppedCount(7);
        assertThat(new String(json, StandardCharsets.UTF_8))
                .startsWith("{\"time\":\"")
                .contains("\"level\":\"WARN\",\"logger\":\"" + LogQueue.class.getName() + "\"")
                .endsWith("\"message\":\"log lines dropped: 7\"}\n");
    }

    @Test
    void blockedReaderDropsLinesWithoutBlockingTheLoggingThread() {
        // The reader is blocked while more than ten times as many lines are put as the queue holds.
        // If a put waited for room, it would never return in this test. The important line must be
        // kept.
        BlockedStream blocked = new BlockedStream();
        LogQueue queue = new LogQueue(blocked, LogQueueTest::droppedCountLine);
        queue.start();
        for (int i = 0; i < ORDINARY_LINES; i++) {
            queue.put(line("ordinary"), false);
        }
        queue.put(line("failed"), true);
        blocked.mOpen.countDown();
        queue.stop();
        String written = blocked.mWritten.toString(StandardCharsets.UTF_8);
        assertThat(written).contains("failed\n").contains("log lines dropped: ");
        long kept = written.lines().filter("ordinary"::equals).count();
        assertThat(kept).isPositive().isLessThan(ORDINARY_LINES);
        long dropped =
                written.lines()
                        .filter(l -> l.contains("dropped"))
                        .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")))
                        .sum();
        assertThat(kept + dropped).isEqualTo(ORDINARY_LINES);
    }

    @Test
    void writesLinesInOrder() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        LogQueue queue = new LogQueue(out, LogQueueTest::droppedCountLine);
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
