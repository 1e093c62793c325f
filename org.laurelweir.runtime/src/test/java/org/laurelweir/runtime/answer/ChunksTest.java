package org.laurelweir.runtime.answer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laurelweir.runtime.answer.DecodedAnswer.assertNotWhole;
import static org.laurelweir.runtime.answer.DecodedAnswer.assertWhole;
import static org.laurelweir.runtime.answer.DecodedAnswer.decode;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which chunks and trailers end an answer. */
class ChunksTest {
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";

    /** Guards against chunks whose size or end two programs read in two ways. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "+2\r\nhi\r\n0\r\n\r\n",
                "-2\r\nhi\r\n0\r\n\r\n",
                "0x2\r\nhi\r\n0\r\n\r\n",
                "g\r\nhi\r\n0\r\n\r\n",
                "\r\nhi\r\n0\r\n\r\n",
                ";a\r\nhi\r\n0\r\n\r\n",
                " 2\r\nhi\r\n0\r\n\r\n",
                "\t2\r\nhi\r\n0\r\n\r\n",
                "2 2\r\nhi\r\n0\r\n\r\n",
                "2x\r\nhi\r\n0\r\n\r\n",
                "2\u0000\r\nhi\r\n0\r\n\r\n",
                "2;a\u0000b\r\nhi\r\n0\r\n\r\n",
                "2;a\rb\r\nhi\r\n0\r\n\r\n",
                "2\u00b2\r\nhi\r\n0\r\n\r\n",
                "2\nhi\r\n0\r\n\r\n",
                "2;a\nhi\r\n0\r\n\r\n",
                "2\rhi\r\n0\r\n\r\n",
                "2\r\nhi0\r\n\r\n",
                "2\r\nhi!\r\n0\r\n\r\n",
                "2\r\nhi\n0\r\n\r\n",
                "2\r\nhi \r\n0\r\n\r\n",
                "2\r\nhi\r\n0\n\r\n",
                "2\r\nhi\r\n0\r\n\n",
                "2\r\nhi\r\n0\r\n\rx\r\n\r\n",
                "ffffffffffffffffff\r\nhi\r\n0\r\n\r\n",
                "8000000000000002\r\nhi\r\n0\r\n\r\n"
            })
    void malformedChunksAreNotWhole(String chunks) {
        assertNotWhole(CHUNKED + chunks);
    }

    /** Guards against a size that loses its upper digits, and with them a part of the body. */
    @Test
    void chunkOfFourGibibytesIsNotWholeAfterTwoBytes() {
        assertThat(decode(CHUNKED + "100000002\r\nhi\r\n0\r\n\r\n").isWhole()).isFalse();
    }

    /** Guards against trailers that are no fields, after which the end is not the server's word. */
    @ParameterizedTest
    @MethodSource("org.laurelweir.runtime.answer.DecodedAnswer#bytesOutsideTokens")
    void trailerWithAByteOutsideTokensIsNotWhole(String b) {
        assertNotWhole(CHUNKED + "2\r\nhi\r\n0\r\nA" + b + "B: x\r\n\r\n");
    }

    /** Guards against the same with control bytes in a trailer's value. */
    @ParameterizedTest
    @MethodSource("org.laurelweir.runtime.answer.DecodedAnswer#bytesOutsideTexts")
    void trailerWithAControlByteIsNotWhole(String b) {
        assertNotWhole(CHUNKED + "2\r\nhi\r\n0\r\nA: x" + b + "y\r\n\r\n");
    }

    /** Guards against another answer, or a part of one, that counts as trailers. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "nothing\r\n\r\n",
                ": x\r\n\r\n",
                " A: x\r\n\r\n",
                "A : x\r\n\r\n",
                "A: x\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
            })
    void trailerThatIsNoFieldIsNotWhole(String trailers) {
        assertNotWhole(CHUNKED + "2\r\nhi\r\n0\r\n" + trailers);
    }

    /** Guards against refusing chunks and trailers that are legal and rare. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "2\r\nhi\r\n0\r\n\r\n",
                "1\r\nh\r\n1\r\ni\r\n000\r\n\r\n",
                "0000000000000000002\r\nhi\r\n0\r\n\r\n",
                "2;a=b;c=\"d \u00fc\"\r\nhi\r\n0;e\r\n\r\n",
                "2 ; a = b\r\nhi\r\n0\r\n\r\n",
                "2 \t\r\nhi\r\n0\r\n\r\n",
                "2\r\nhi\r\n0\r\nA: x\r\nB:\r\n\r\n",
                "2\r\nhi\r\n0\r\nA: x\r\n y\r\n\r\n"
            })
    void rareChunksPass(String chunks) {
        assertWhole(CHUNKED + chunks, "200 [Transfer-Encoding=chunked]", "hi");
    }

    /** Guards against a chunk that is cut or runs into the next one by a size read as decimal. */
    @Test
    void sizesAreHexadecimal() {
        String data = "x".repeat(0xaB);
        assertWhole(
                CHUNKED + "aB\r\n" + data + "\r\n0\r\n\r\n",
                "200 [Transfer-Encoding=chunked]",
                data);
    }
}
