package org.laurelweir.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.agrona.collections.Long2LongHashMap;

/**
 * A home's record of the chats whose history is on other backend servers. A chat without an entry
 * is at its home, or is new. The directory's size therefore grows with the number of chats that the
 * load bound displaced, not with all chats.
 *
 * <p>The size is bounded without a scan. Entries are added to a young generation. Once it holds
 * half of the capacity, the old generation is dropped and the young one takes its place. A look-up
 * moves an old entry to the young generation. So a dropped entry was not used while half a capacity
 * of others was. Losing an entry costs a cache miss, never an answer.
 */
public final class ChatDirectory {
    private static final long MISSING = -1;

    /**
     * Agrona's maps hold two longs per slot, and double when two thirds of the slots are in use.
     */
    private static final float LOAD_FACTOR = 0.65f;

    private static final int INITIAL_SLOTS = 8;

    private final int mGenerationSize;
    private final List<String> mServers = new ArrayList<>();
    private final Map<String, Integer> mServerIndexes = new HashMap<>();
    private Long2LongHashMap mYoung = newGeneration();
    private Long2LongHashMap mOld = newGeneration();

    /**
     * Creates an empty directory.
     *
     * @param capacity the maximum number of chats, at least 2
     */
    public ChatDirectory(int capacity) {
        if (capacity < 2) {
            throw new IllegalArgumentException(
                    "directory capacity must be at least 2: " + capacity);
        }
        mGenerationSize = capacity / 2;
    }

    private static Long2LongHashMap newGeneration() {
        return new Long2LongHashMap(INITIAL_SLOTS, LOAD_FACTOR, MISSING);
    }

    /**
     * Returns the backend server that holds a chat's history, and marks the entry as used.
     *
     * @param chat the chat
     * @return the backend server's name, or null if the directory has no entry
     */
    public String find(ChatKey chat) {
        long index = mYoung.get(chat.hash());
        if (index == MISSING) {
            index = mOld.remove(chat.hash());
            if (index == MISSING) {
                return null;
            }
            insert(chat.hash(), index);
        }
        return mServers.get((int) index);
    }

    /**
     * Records the backend server that holds a chat's history.
     *
     * @param chat the chat
     * @param server the name of the backend server
     */
    public void put(ChatKey chat, String server) {
        mOld.remove(chat.hash());
        insert(chat.hash(), mServerIndexes.computeIfAbsent(server, this::newIndex));
    }

    private int newIndex(String server) {
        mServers.add(server);
        return mServers.size() - 1;
    }

    private void insert(long hash, long index) {
        mYoung.put(hash, index);
        if (mYoung.size() >= mGenerationSize) {
            mOld = mYoung;
            mYoung = newGeneration();
        }
    }

    /** Removes a chat's entry, because its history is at its home again. */
    public void remove(ChatKey chat) {
        mYoung.remove(chat.hash());
        mOld.remove(chat.hash());
    }

    /** Removes the entries of a backend server that has left. */
    public void removeServer(String server) {
        Integer index = mServerIndexes.get(server);
        if (index == null) {
            return;
        }
        mYoung.values().removeIf(i -> i.intValue() == index);
        mOld.values().removeIf(i -> i.intValue() == index);
    }

    /** Passes each entry to the consumer once: the chat and the backend server's name. */
    public void forEach(BiConsumer<ChatKey, String> consumer) {
        mYoung.longForEach((h, i) -> consumer.accept(new ChatKey(h), mServers.get((int) i)));
        mOld.longForEach((h, i) -> consumer.accept(new ChatKey(h), mServers.get((int) i)));
    }

    /** Returns the number of chats that have an entry. */
    public int size() {
        return mYoung.size() + mOld.size();
    }

    /** Returns the size of the entries' tables, in bytes. */
    public long tableBytes() {
        return 2L * Long.BYTES * (mYoung.capacity() + mOld.capacity());
    }
}
