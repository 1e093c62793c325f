package org.laurelweir.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The histories that count as cached never exceed the backend server's cache. */
class CachedChatsTest {
    private final CachedChats mChats = new CachedChats(3);

    // The engine evicts the least recently used history to make room for a long one. If the evicted
    // chat still counted as cached, its next turn would be admitted with a tenth of its real work.
    @Test
    void longHistoryEvictsLeastRecentlyUsedChats() {
        mChats.setMaxTokens(1_000);
        mChats.put(1, 400);
        mChats.put(2, 400);
        mChats.tokens(1);
        mChats.put(3, 600);
        assertThat(mChats.contains(2)).isFalse();
        assertThat(mChats.tokens(1)).isEqualTo(400);
        assertThat(mChats.tokens(3)).isEqualTo(600);
    }

    @Test
    void updatedHistoryCountsOnce() {
        mChats.setMaxTokens(1_000);
        mChats.put(1, 400);
        mChats.put(2, 300);
        mChats.put(2, 600);
        assertThat(mChats.tokens(1)).isEqualTo(400);
    }

    @Test
    void numberOfChatsIsBounded() {
        for (int chat = 1; chat <= 4; chat++) {
            mChats.put(chat, 1);
        }
        assertThat(mChats.contains(1)).isFalse();
        assertThat(mChats.contains(2)).isTrue();
    }

    @Test
    void loweringTheTokenLimitEvictsAtOnce() {
        mChats.put(1, 400);
        mChats.put(2, 400);
        mChats.setMaxTokens(500);
        assertThat(mChats.contains(1)).isFalse();
        assertThat(mChats.contains(2)).isTrue();
    }
}
