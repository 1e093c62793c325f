package org.laurelweir.runtime.answer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laurelweir.runtime.answer.DecodedAnswer.assertNoAnswer;
import static org.laurelweir.runtime.answer.DecodedAnswer.assertNotWhole;
import static org.laurelweir.runtime.answer.DecodedAnswer.assertWhole;
import static org.laurelweir.runtime.answer.DecodedAnswer.decode;

import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests heads that tell the end of a body in two ways, or have a status without a body. */
class AnswerFramingTest {
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";

    /** Guards against a length that two programs read in two ways. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 2\r\nContent-Length: 3",
                "Content-Length: 2, 3",
                "Content-Length: +2",
                "Content-Length: -2",
                "Content-Length: 0x2",
                "Content-Length: 2x",
                "Content-Length: 2 2",
                "Content-Length: 2.0",
                "Content-Length: \u00b2",
                "Content-Length: 99999999999999999999",
                "Content-Length:",
                "Content-Length: 2\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: chunked\r\nContent-Length: 2",
                "Transfer-Encoding: gzip",
                "Transfer-Encoding: gzip, chunked",
                "Transfer-Encoding: chunked, gzip",
                "Transfer-Encoding: chunked, chunked",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: xchunked",
                "Transfer-Encoding: identity",
                "Transfer-Encoding: \"chunked\"",
                "Transfer-Encoding: chunked;x",
                "Transfer-Encoding:"
            })
    void headThatDoesNotTellOneLengthIsNoAnswer(String fields) {
        assertNoAnswer(OK + fields + "\r\n\r\n2\r\nhi\r\n0\r\n\r\n");
    }

    /** Guards against chunks from a server that by its version does not know them. */
    @Test
    void chunksOfAnOldVersionAreNoAnswer() {
        assertNoAnswer(CHUNKED.replace("HTTP/1.1", "HTTP/1.0") + "2\r\nhi\r\n0\r\n\r\n");
    }

    /** Guards against a body that a status forbids, which our answer to the caller would lose. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "204 X\r\nContent-Length: 2\r\n\r\nhi",
                "204 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
                "205 X\r\nContent-Length: 2\r\n\r\nhi",
                "205 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
                "205 X\r\n\r\nhi",
                "100 X\r\nContent-Length: 2\r\n\r\nhi",
                "103 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"
            })
    void bodyThatTheStatusForbidsIsNotWhole(String answer) {
        assertNotWhole("HTTP/1.1 " + answer);
    }

    /** Guards against refusing the heads without a body that are legal and rare. */
    @Test
    void answersWithoutABodyPass() {
        assertWhole("HTTP/1.1 204 X\r\n\r\n", "204 []", "");
        assertWhole("HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n", "204 [Content-Length=0]", "");
        assertWhole("HTTP/1.1 304 X\r\nContent-Length: 9\r\n\r\n", "304 [Content-Length=9]", "");
        assertWhole(
                "HTTP/1.1 304 X\r\nTransfer-Encoding: chunked\r\n\r\n",
                "304 [Transfer-Encoding=chunked]",
                "");
        assertWhole("HTTP/1.1 205 X\r\nContent-Length: 0\r\n\r\n", "205 [Content-Length=0]", "");
        assertWhole(
                "HTTP/1.1 205 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "205 [Transfer-Encoding=chunked]",
                "");
        assertWhole("HTTP/1.1 205 X\r\n\r\n", "205 []", "");
        DecodedAnswer head = decode(HttpMethod.HEAD, OK + "Content-Length: 9\r\n\r\n", 1);
        assertThat(head.isWhole()).isTrue();
        head = decode(HttpMethod.HEAD, CHUNKED, 1);
        assertThat(head.isWhole()).isTrue();
    }

    /** Guards against a change of the protocol that nobody asked for: what follows is no HTTP. */
    @Test
    void changeOfTheProtocolIsNoAnswer() {
        assertNoAnswer("HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n");
    }
}
