package org.laurelweir.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The histories counted as cached are no more than the backend server has room for. */
class CachedChatsTest {
    private final CachedChats mChats = new CachedChats(3);

    // The engine drops the history that was unused for longest to make room for a long one. Still
    // counted as cached, the dropped chat's next turn would be admitted as a tenth of its work.
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
