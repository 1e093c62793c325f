package org.laurelweir.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Compares the directory with a plain map, and tests its bounds. */
class ChatDirectoryTest {
    @Property(tries = 200, seed = "41")
    void matchesAMapAndStaysBounded(
            @ForAll @Size(max = 400) List<@IntRange(min = 0, max = 60) Integer> chats,
            @ForAll @IntRange(min = 2, max = 40) int capacity) {
        ChatDirectory directory = new ChatDirectory(capacity);
        Map<ChatKey, String> expected = new HashMap<>();
        for (int i = 0; i < chats.size(); i++) {
            ChatKey chat = new ChatKey(chats.get(i));
            String found = directory.find(chat);
            assertThat(found == null || found.equals(expected.get(chat))).isTrue();
            if (i % 5 == 0) {
                directory.remove(chat);
                expected.remove(chat);
            } else {
                directory.put(chat, "worker-" + i % 7);
                expected.put(chat, "worker-" + i % 7);
                assertThat(directory.find(chat)).isEqualTo("worker-" + i % 7);
            }
            assertThat(directory.size()).isLessThanOrEqualTo(capacity);
        }
    }

    @Test
    void recentlyUsedEntriesSurvive() {
        ChatDirectory directory = new ChatDirectory(100);
        directory.put(new ChatKey(-1), "kept");
        for (int i = 0; i < 10_000; i++) {
            directory.put(new ChatKey(i), "other");
            assertThat(directory.find(new ChatKey(-1))).isEqualTo("kept");
        }
    }

    @Test
    void entriesOfADepartedServerAreRemoved() {
        ChatDirectory directory = new ChatDirectory(100);
        directory.put(new ChatKey(1), "a");
        directory.put(new ChatKey(2), "b");
        directory.removeServer("a");
        Map<ChatKey, String> remaining = new HashMap<>();
        directory.forEach(remaining::put);
        assertThat(remaining).containsOnly(Map.entry(new ChatKey(2), "b"));
    }

    @Test
    void entryTakesFewBytes() {
        ChatDirectory directory = new ChatDirectory(1_000_000);
        for (int i = 0; i < 100_000; i++) {
            directory.put(ChatKey.of("account", "chat-" + i), "worker-" + i % 100);
        }
        assertThat(directory.tableBytes() / directory.size()).isLessThanOrEqualTo(50);
    }
}
