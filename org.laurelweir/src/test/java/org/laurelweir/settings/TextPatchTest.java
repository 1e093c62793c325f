package org.laurelweir.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/** Patches between texts. */
class TextPatchTest {
    private static final int ROUTES = 900;

    private static String document(int version, int changedRoute, int timeout) {
        String routes =
                IntStream.range(0, ROUTES)
                        .mapToObj(i -> route(i, i == changedRoute ? timeout : 5000))
                        .collect(Collectors.joining(","));
        return "{\"version\":" + version + ",\"routes\":[" + routes + "]}";
    }

    private static String route(int i, int timeout) {
        return "{\"name\":\"r%d\",\"host\":\"h%d.example\",\"timeout_ms\":%d}"
                .formatted(i, i % 7, timeout);
    }

    private static int literalLength(TextPatch patch) {
        return patch.pieces().stream().mapToInt(p -> p.literal().length()).sum();
    }

    @Example
    void changeOfOneValueGivesSmallPatch() {
        String before = document(1, -1, 0);
        String after = document(2, 500, 6000);
        TextPatch patch = TextPatch.between(before, after);
        assertThat(patch.applyTo(before)).isEqualTo(after);
        assertThat(literalLength(patch)).isLessThan(250);
        assertThat(patch.pieces()).hasSizeLessThan(10);
    }

    @Example
    void unrelatedTextIsOneLiteral() {
        TextPatch patch = TextPatch.between("", "a whole text");
        assertThat(patch.applyTo("")).isEqualTo("a whole text");
        assertThat(TextPatch.between("a whole text", "").applyTo("a whole text")).isEmpty();
    }

    // Guards against a patch that gives another text than the one from which it was made: operators
    // would read back settings that differ from those that they sent.
    @Property(seed = "3", tries = 500, shrinking = ShrinkingMode.OFF)
    void patchRestoresAnyText(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        String before = randomText(random);
        String after = random.nextBoolean() ? randomText(random) : edited(before, random);
        assertThat(TextPatch.between(before, after).applyTo(before)).isEqualTo(after);
    }

    private static String randomText(SplittableRandom random) {
        StringBuilder text = new StringBuilder();
        for (int i = random.nextInt(40); i > 0; i--) {
            text.append("{\"a\":").append(random.nextInt(3)).append("x".repeat(random.nextInt(30)));
            text.append(random.nextBoolean() ? "}" : "\n");
        }
        return text.toString();
    }

    private static String edited(String text, SplittableRandom random) {
        int from = random.nextInt(text.length() + 1);
        int to = from + random.nextInt(text.length() - from + 1);
        return text.substring(0, from) + randomText(random) + text.substring(to);
    }
}
