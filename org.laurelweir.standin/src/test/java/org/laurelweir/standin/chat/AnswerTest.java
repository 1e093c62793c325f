package org.laurelweir.standin.chat;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Checks that only the complete answer to a prompt is accepted. */
class AnswerTest {
    private static final Prompt PROMPT = prompt("Which berth? [[m-1]]");

    @Property(seed = "42", tries = 100)
    void onlyWholeTextPasses(@ForAll @IntRange(min = 3, max = 50) int tokens) {
        Answer answer = Answer.of(PROMPT, tokens);

        assertThat(Answer.findFault(PROMPT, answer.text())).isEmpty();
        for (int to = 0; to < tokens; to++) {
            assertThat(Answer.findFault(PROMPT, answer.text(0, to))).isPresent();
        }
        assertThat(Answer.findFault(PROMPT, answer.text() + " 1")).isPresent();
    }

    @Test
    void answerToAnotherPromptIsDetected() {
        Prompt other = prompt("Which quay? [[m-1]]");
        assertThat(Answer.findFault(PROMPT, Answer.of(other, 5).text()))
                .contains("the answer to another prompt");
    }

    private static Prompt prompt(String text) {
        return Prompt.of(List.of(ChatMessage.of("user", text)));
    }
}
