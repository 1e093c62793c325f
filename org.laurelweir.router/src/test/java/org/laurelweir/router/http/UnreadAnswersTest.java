package org.laurelweir.router.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Tests the bound of whole answers that their callers have not read. */
class UnreadAnswersTest {
    private static final int LARGE = 1 << 20;

    private final UnreadAnswers mAnswers = new UnreadAnswers(2 * LARGE);
    private final List<EmbeddedChannel> mConnections =
            Stream.generate(EmbeddedChannel::new).limit(3).toList();

    // Guards against callers that do not read their large answers and fill the memory together.
    @Test
    void connectionThatWaitedLongestIsClosed() {
        mConnections.forEach(c -> mAnswers.add(c, LARGE));
        assertThat(mAnswers.bytes()).isEqualTo(2 * LARGE);
        assertThat(mConnections)
                .extracting(EmbeddedChannel::isOpen)
                .containsExactly(false, true, true);
    }

    // Guards against closing the connections of callers that read, or of small answers.
    @Test
    void answersThatWereReadAndSmallOnesDoNotCount() {
        for (int i = 0; i < 10; i++) {
            mConnections.forEach(c -> mAnswers.add(c, 1000));
            mAnswers.add(mConnections.get(0), LARGE);
            mAnswers.remove(mConnections.get(0));
        }
        assertThat(mAnswers.bytes()).isZero();
        assertThat(mConnections).allMatch(EmbeddedChannel::isOpen);
    }

    @Test
    void singleAnswerAboveTheLimitIsKept() {
        mAnswers.add(mConnections.get(0), 3 * LARGE);
        assertThat(mConnections.get(0).isOpen()).isTrue();
    }
}
