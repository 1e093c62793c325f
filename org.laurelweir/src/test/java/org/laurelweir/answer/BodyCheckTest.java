package org.laurelweir.answer;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.laurelweir.attempt.Header;

/** Tests which bodies are recognised as broken off. */
class BodyCheckTest {
    private static final String EVENTS = "text/event-stream; charset=utf-8";
    private static final String JSON = "application/json";

    private static BodyType type(String contentType) {
        return BodyType.of(List.of(new Header("content-type", contentType)));
    }

    private static boolean isBrokenOff(String contentType, BodyFraming framing, String body) {
        BodyType type = type(contentType);
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        BodyCheck whole = new BodyCheck(type, framing);
        whole.add(bytes);
        BodyCheck bytewise = new BodyCheck(type, framing);
        for (byte b : bytes) {
            bytewise.add(new byte[] {b});
        }
        assertThat(bytewise.isBrokenOff()).as(body).isEqualTo(whole.isBrokenOff());
        return whole.isBrokenOff();
    }

    // Guards against a cut JSON text that counts as a whole answer.
    @Test
    void everyCutOfAJsonTextThatEndsWithItsConnectionIsRecognised() {
        for (String text :
                List.of(
                        "{\"a\": [1, {\"b\": \"}]\\\"\"}], \"c\": null}",
                        "[[], {}, \"x\\\\\"]",
                        "\"text\"")) {
            assertThat(isBrokenOff(JSON, BodyFraming.CONNECTION, text)).as(text).isFalse();
            assertThat(isBrokenOff(JSON, BodyFraming.CONNECTION, " " + text + "\n")).isFalse();
            for (int i = 0; i < text.length(); i++) {
                String cut = text.substring(0, i);
                assertThat(isBrokenOff(JSON, BodyFraming.CONNECTION, cut)).as(cut).isTrue();
                assertThat(isBrokenOff("application/problem+json", BodyFraming.CONNECTION, cut))
                        .isTrue();
            }
        }
    }

    // Guards against failing answers whose servers told their ends.
    @Test
    void jsonTextWhoseEndIsToldIsNotJudged() {
        for (BodyFraming framing : List.of(BodyFraming.LENGTH, BodyFraming.CHUNKS)) {
            assertThat(isBrokenOff(JSON, framing, "{\"a\"")).isFalse();
        }
    }

    @Test
    void bodyOfAnyOtherTypeIsNotJudged() {
        for (BodyFraming framing : BodyFraming.values()) {
            assertThat(isBrokenOff("text/plain", framing, "{\"a\"")).isFalse();
            assertThat(isBrokenOff("", framing, "id: 1")).isFalse();
        }
    }

    // Guards against judging compressed bytes.
    @Test
    void compressedBodyIsNotJudged() {
        Header encoding = new Header("Content-Encoding", "gzip");
        for (String type : List.of(EVENTS, JSON)) {
            List<Header> headers = List.of(new Header("Content-Type", type), encoding);
            assertThat(BodyType.of(headers)).isEqualTo(BodyType.OTHER);
        }
        assertThat(type("Application/JSON; charset=utf-8")).isEqualTo(BodyType.JSON);
        assertThat(type(EVENTS)).isEqualTo(BodyType.EVENTS);
        assertThat(type("")).isEqualTo(BodyType.UNKNOWN);
    }

    @Test
    void streamOfEventsIsBrokenOffInsideAnEvent() {
        for (BodyFraming framing : BodyFraming.values()) {
            assertThat(isBrokenOff(EVENTS, framing, "data: a\n\n")).isFalse();
            assertThat(isBrokenOff(EVENTS, framing, "data: a\n\ndata: b\n")).isTrue();
            assertThat(isBrokenOff(EVENTS, framing, "")).isEqualTo(!framing.provesEnd());
        }
    }
}
