package org.laurelweir.runtime.answer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laurelweir.runtime.answer.DecodedAnswer.assertWhole;
import static org.laurelweir.runtime.answer.DecodedAnswer.decode;

import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests whole answers and their ends on one connection. */
class AnswerCodecTest {
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String BODY = "Content-Length: 2\r\n\r\nhi";

    /** Guards against an interim answer that counts as the answer, or that hides it. */
    @Test
    void interimAnswersComeBeforeTheAnswer() {
        String interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: </a>\r\n\r\n";
        for (int pieceSize : List.of(1, 7, 1000)) {
            DecodedAnswer decoded = decode(HttpMethod.POST, interim + OK + BODY, pieceSize);
            assertThat(decoded.heads())
                    .containsExactly("100 []", "103 [Link=</a>]", "200 [Content-Length=2]");
            assertThat(decoded.body()).isEqualTo("hi");
            assertThat(decoded.isWhole()).isTrue();
        }
    }

    /** Guards against a part of an answer that counts as the whole, wherever it is cut. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nA: x\r\nContent-Length: 2\r\n\r\nhi",
                "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "2;a\r\nhi\r\n0\r\nA: x\r\n\r\n"
            })
    void cutAnswerIsNotWhole(String answer) {
        for (int cut = 0; cut < answer.length(); cut++) {
            DecodedAnswer decoded = decode(answer.substring(0, cut));
            boolean ended = decoded.heads().stream().anyMatch(h -> h.startsWith("200"));
            assertThat(ended && decoded.isWhole()).as("cut at %d: %s", cut, decoded).isFalse();
        }
        assertThat(decode(answer).isWhole()).isTrue();
    }

    /** Guards against losing an answer that only the end of its connection ends. */
    @Test
    void endOfTheConnectionEndsAnAnswerThatHasNoLength() {
        assertWhole(OK + "A: x\r\n\r\nhi there", "200 [A=x]", "hi there");
        assertWhole(OK + "\r\n", "200 []", "");
    }

    /** Guards against taking what follows bytes that are no answer for one. */
    @Test
    void nothingIsReadAfterBytesThatAreNoAnswer() {
        DecodedAnswer decoded = decode("HTTP/1.1 000 X\r\n" + BODY + OK + BODY);
        assertThat(decoded.heads()).isEmpty();
        assertThat(decoded.ends()).isZero();
    }

    /** Guards against one answer that is taken for two, or two for one. */
    @Test
    void answersOfAConnectionAreToldApart() {
        String first = CHUNKED + "2\r\nhi\r\n0\r\n\r\n";
        for (int pieceSize : List.of(1, 3, 1000)) {
            DecodedAnswer decoded = decode(HttpMethod.POST, first + OK + BODY, pieceSize);
            assertThat(decoded.heads()).hasSize(2);
            assertThat(decoded.body()).isEqualTo("hihi");
            assertThat(decoded.isWhole()).isTrue();
        }
    }
}
